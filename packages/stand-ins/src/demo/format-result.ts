import type * as load from '../load/index.js';

/** Formats the result of a load run as lines: outcomes, error codes, latencies and the first failures. */
export function formatResult(result: load.LoadResult): string[] {
	return [
		formatCounts('questions', result.questions),
		formatCounts('bookings', result.bookings),
		...Object.entries(result.refusals).map(([code, count]) => `  refused with ${code}: ${count}`),
		formatLatency('time to first token', result.firstToken),
		formatLatency('gap between tokens', result.tokenGap),
		formatLatency('complete answer', result.total),
		formatLatency('booking', result.bookingTotal),
		`cached prompt tokens: ${result.cachedTokens} of ${result.promptTokens}`,
		...result.failures.slice(0, 20).map(failure => `  ${failure.outcome} ${failure.request}: ${failure.code ?? ''} ${failure.detail ?? ''}`),
	];
}

function formatCounts(name: string, counts: load.OutcomeCounts): string {
	const parts = Object.entries(counts).map(([outcome, count]) => `${outcome} ${count}`);
	return `${name}: ${parts.join(', ')}`;
}

function formatLatency(name: string, summary: load.LatencySummary): string {
	const {count, p50Ms, p99Ms, maxMs} = summary;
	return `${name}: ${count} recorded, median ${p50Ms} ms, p99 ${p99Ms} ms, max ${maxMs} ms`;
}

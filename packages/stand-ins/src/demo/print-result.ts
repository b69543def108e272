import type * as load from '../load/index.js';

/** Returns the lines that account for every request of a run. */
export function describeResult(result: load.LoadResult): string[] {
	return [
		describeCounts('questions', result.questions),
		describeCounts('bookings', result.bookings),
		...Object.entries(result.refusals).map(([code, count]) => `  refused with ${code}: ${count}`),
		describeLatency('time to first token', result.firstToken),
		describeLatency('gap between tokens', result.tokenGap),
		describeLatency('whole answer', result.total),
		describeLatency('booking', result.bookingTotal),
		`cached prompt tokens: ${result.cachedTokens} of ${result.promptTokens}`,
		...result.failures.slice(0, 20).map(failure => `  ${failure.outcome} ${failure.request}: ${failure.code ?? ''} ${failure.detail ?? ''}`),
	];
}

function describeCounts(name: string, counts: load.OutcomeCounts): string {
	const parts = Object.entries(counts).map(([outcome, count]) => `${outcome} ${count}`);
	return `${name}: ${parts.join(', ')}`;
}

function describeLatency(name: string, summary: load.LatencySummary): string {
	const {count, p50Ms, p99Ms, maxMs} = summary;
	return `${name}: ${count} recorded, median ${p50Ms} ms, p99 ${p99Ms} ms, largest ${maxMs} ms`;
}

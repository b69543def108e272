import * as core from '@bluebellmast/core';
import type * as load from '../load/index.js';

/** Checks that every request that was sent has an outcome and that no answer was wrong; returns the findings. */
export function checkCounts(name: string, counts: load.OutcomeCounts): string[] {
	const refused = counts.refused_not_run + counts.refused_unknown + counts.refused_done;
	const ended = counts.answered + refused + counts.interrupted + counts.lost + counts.wrong;
	const findings: string[] = [];
	if (ended !== counts.sent) {
		findings.push(`${counts.sent} ${name} were sent but ${ended} have an outcome`);
	}

	if (counts.wrong > 0) {
		findings.push(`${counts.wrong} ${name} got a wrong answer`);
	}

	return findings;
}

/** Checks that no request failed with an internal error of a router and that a minimum share was answered; returns the findings. */
export function checkAvailability(result: load.LoadResult, minAnsweredShare: number): string[] {
	const internalErrors = result.refusals[core.model.ErrorCode.Internal] ?? 0;
	const sent = result.questions.sent + result.bookings.sent;
	const answered = result.questions.answered + result.bookings.answered;
	return [
		...(internalErrors > 0 ? [`${internalErrors} requests failed with an internal error of the router`] : []),
		...(answered < sent * minAnsweredShare ? [`only ${answered} of ${sent} requests were answered`] : []),
	];
}

/** Checks that each request was answered in full or refused: none was interrupted or lost; returns the findings. */
export function checkNoneIncomplete(name: string, counts: load.OutcomeCounts): string[] {
	return [
		...(counts.lost > 0 ? [`${counts.lost} ${name} got no complete response`] : []),
		...(counts.interrupted > 0 ? [`${counts.interrupted} ${name} were interrupted after their first token`] : []),
	];
}

import * as core from '@bluebellmast/core';
import type * as load from '../load/index.js';

/** Checks that each request was accounted for and none was answered wrongly; returns the findings. */
export function checkCounts(name: string, counts: load.OutcomeCounts): string[] {
	const refused = counts.refused_not_run + counts.refused_unknown + counts.refused_done;
	const ended = counts.answered + refused + counts.interrupted + counts.lost + counts.wrong;
	const findings: string[] = [];
	if (ended !== counts.sent) {
		findings.push(`${counts.sent} ${name} were sent but ${ended} ended`);
	}

	if (counts.wrong > 0) {
		findings.push(`${counts.wrong} ${name} were answered wrongly`);
	}

	return findings;
}

/** Checks that no router met a fault of its own, and that most requests were answered; returns the findings. */
export function checkAvailability(result: load.LoadResult, minAnsweredShare: number): string[] {
	const internalErrors = result.refusals[core.model.ErrorCode.Internal] ?? 0;
	const sent = result.questions.sent + result.bookings.sent;
	const answered = result.questions.answered + result.bookings.answered;
	return [
		...(internalErrors > 0 ? [`${internalErrors} requests met a fault of the router itself`] : []),
		...(answered < sent * minAnsweredShare ? [`only ${answered} of ${sent} requests were answered`] : []),
	];
}

/** Checks that each request was answered whole or refused: none was cut short or left without an answer. */
export function checkNoneIncomplete(name: string, counts: load.OutcomeCounts): string[] {
	return [
		...(counts.lost > 0 ? [`${counts.lost} ${name} were left without an answer`] : []),
		...(counts.interrupted > 0 ? [`${counts.interrupted} ${name} were interrupted after their first token`] : []),
	];
}

import * as core from '@bluebellmast/core';
import * as refusals from './refusal.js';
import type * as sentAttempt from './sent-attempt.js';

/** Returns the given refusal if none of the attempts can have been executed, otherwise one whose status leaves that open. */
export function createExecutionRefusal(refusal: refusals.Refusal, attempts: readonly sentAttempt.SentAttempt[], isLate: boolean): refusals.Refusal {
	const progresses = attempts.map(sent => ({id: sent.id, endpoint: sent.placement.entry.id, progress: sent.end?.progress ?? sent.attempt.progress}));
	if (core.request.decideExecution(progresses, false) === core.model.ExecutionState.NotRun) {
		return refusal;
	}

	return {code: isLate ? refusals.RefusalCode.TimedOut : refusals.RefusalCode.OutcomeUnknown};
}

import * as attempt from './attempt.js';
import * as requestState from './request-state.js';

/** What follows the failure of an attempt. */
export enum RetryDecision {
	/** A new attempt at another endpoint; nothing was delivered. */
	TryOtherEndpoint = 'try_elsewhere',
	/** The same attempt again at the same incarnation, after the last event. */
	Resume = 'resume',
	/** A new attempt that continues the delivered text. */
	Continue = 'continue',
	/** A new attempt from the start, after a restart event. */
	Restart = 'restart',
	/** A typed error. */
	End = 'end',
}

/** A failure, with what allows another attempt. */
export type AttemptFailure = {
	readonly cause: requestState.FailureCause;
	/** Whether the retry budget allows a retry. */
	readonly retryAllowed: boolean;
};

function mayStartNewAttempt(state: requestState.RequestState, failure: AttemptFailure, now: number): boolean {
	const {options, attempts, hasResponseStarted} = state;
	if (!failure.retryAllowed || attempts.length >= options.maxAttempts) {
		return false;
	}

	if (!hasResponseStarted && now >= options.deadlineAt) {
		return false;
	}

	return options.repeatable || attempts.every(item => attempt.isKnownNotExecuted(item));
}

function canResume(state: requestState.RequestState, failure: AttemptFailure): boolean {
	const current = state.attempts.at(-1);
	return failure.cause === requestState.FailureCause.ConnectionLost
		&& state.options.resumable
		&& current?.progress === attempt.AttemptProgress.ResponseStarted
		&& current.incarnation !== undefined
		&& state.resumeCount < state.options.maxResumes;
}

/** Decides what follows the failure of the current attempt. */
export function decideRetry(state: requestState.RequestState, failure: AttemptFailure, now: number): RetryDecision {
	if (canResume(state, failure)) {
		return RetryDecision.Resume;
	}

	if (!mayStartNewAttempt(state, failure, now)) {
		return RetryDecision.End;
	}

	if (!state.hasDeliveredText) {
		return RetryDecision.TryOtherEndpoint;
	}

	if (failure.cause === requestState.FailureCause.WeightsRecalled) {
		return RetryDecision.Restart;
	}

	return state.options.supportsForcedPrefix ? RetryDecision.Continue : RetryDecision.End;
}

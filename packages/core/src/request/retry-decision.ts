import * as attempt from './attempt.js';
import * as requestState from './request-state.js';

/** How the router proceeds after a failed attempt. */
export enum RetryDecision {
	/** Start a new attempt at another endpoint; nothing was delivered to the caller. */
	TryOtherEndpoint = 'try_elsewhere',
	/** Resume the same attempt at the same incarnation after the last received event. */
	Resume = 'resume',
	/** Start a new attempt that continues the delivered text. */
	Continue = 'continue',
	/** Send the caller a restart event and start a new attempt from the beginning. */
	Restart = 'restart',
	/** End the request with an error. */
	End = 'end',
}

/** A failed attempt and whether it may be retried. */
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

function hasResumesLeft(state: requestState.RequestState): boolean {
	const current = state.attempts.at(-1);
	return state.options.resumable
		&& current?.progress === attempt.AttemptProgress.ResponseStarted
		&& current.incarnation !== undefined
		&& state.resumeCount < state.options.maxResumes;
}

/**
 * Returns whether a request for which no other endpoint was found can be resumed at the incarnation of its current attempt. That is
 * the case after a failure to connect, since the incarnation may only be unreachable for a moment.
 */
export function canResumeWithoutAlternative(state: requestState.RequestState): boolean {
	return state.lastFailure === requestState.FailureCause.ConnectFailed && hasResumesLeft(state);
}

/** Decides how to proceed after the failure of the current attempt. */
export function decideRetry(state: requestState.RequestState, failure: AttemptFailure, now: number): RetryDecision {
	if (failure.cause === requestState.FailureCause.ConnectionLost && hasResumesLeft(state)) {
		return RetryDecision.Resume;
	}

	const decision = decideNewAttempt(state, failure, now);
	return decision === RetryDecision.End && canResumeWithoutAlternative({...state, lastFailure: failure.cause})
		? RetryDecision.Resume
		: decision;
}

function decideNewAttempt(state: requestState.RequestState, failure: AttemptFailure, now: number): RetryDecision {
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

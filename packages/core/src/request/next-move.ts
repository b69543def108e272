import * as attempt from './attempt.js';
import * as life from './request-life.js';

/** What follows the failure of an attempt. */
export enum NextMove {
	/** A new attempt at another endpoint; nothing was delivered. */
	TryElsewhere = 'try_elsewhere',
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
export type Failure = {
	readonly cause: life.FailureCause;
	/** Whether the retry budget allows a retry. */
	readonly retryAllowed: boolean;
};

function mayAttemptAgain(state: life.RequestLife, failure: Failure, now: number): boolean {
	const {terms, attempts, opened} = state;
	if (!failure.retryAllowed || attempts.length >= terms.maxAttempts) {
		return false;
	}

	if (!opened && now >= terms.deadlineAt) {
		return false;
	}

	return terms.repeatable || attempts.every(item => attempt.hasNotRun(item));
}

function canResume(state: life.RequestLife, failure: Failure): boolean {
	const present = state.attempts.at(-1);
	return failure.cause === life.FailureCause.ConnectionLost
		&& state.terms.resumable
		&& present?.progress === attempt.AttemptProgress.AnswerBegun
		&& present.incarnation !== undefined
		&& state.resumes < state.terms.maxResumes;
}

/** Decides what follows the failure of the present attempt. */
export function decideNextMove(state: life.RequestLife, failure: Failure, now: number): NextMove {
	if (canResume(state, failure)) {
		return NextMove.Resume;
	}

	if (!mayAttemptAgain(state, failure, now)) {
		return NextMove.End;
	}

	if (!state.delivered) {
		return NextMove.TryElsewhere;
	}

	if (failure.cause === life.FailureCause.WeightsRecalled) {
		return NextMove.Restart;
	}

	return state.terms.supportsForcedPrefix ? NextMove.Continue : NextMove.End;
}

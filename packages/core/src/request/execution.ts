import * as model from '../model/index.js';
import * as attempt from './attempt.js';

/** What is known about earlier requests with the same idempotency key. */
export enum PriorExecution {
	/** None is known. */
	None = 'none',
	/** One may have been executed or may still be executing. */
	Possible = 'possible',
	/** One was executed. */
	Done = 'done',
}

/**
 * Returns what is known about whether a request was executed. This is the only place where that is decided.
 *
 * @param attempts - Every attempt of the request at any endpoint.
 * @param maySendAgain - Whether the router may still send the request.
 * @param priorExecution - What is known about earlier requests with the same idempotency key.
 */
export function decideExecution(
	attempts: readonly attempt.Attempt[],
	maySendAgain: boolean,
	priorExecution: PriorExecution = PriorExecution.None,
): model.ExecutionState {
	const isResponseComplete = attempts.some(item => item.progress === attempt.AttemptProgress.ResponseComplete);
	if (isResponseComplete || priorExecution === PriorExecution.Done) {
		return model.ExecutionState.Done;
	}

	if (maySendAgain || priorExecution === PriorExecution.Possible) {
		return model.ExecutionState.Unknown;
	}

	return attempts.every(item => attempt.isKnownNotExecuted(item)) ? model.ExecutionState.NotRun : model.ExecutionState.Unknown;
}

import * as model from '../model/index.js';
import * as attempt from './attempt.js';

/** What is known of earlier requests with the same idempotency key. */
export enum PriorExecution {
	/** None is known. */
	None = 'none',
	/** One may have run, or may be running. */
	Possible = 'possible',
	/** One has run. */
	Done = 'done',
}

/**
 * Decides what is known of whether a request was carried out. No other code decides this.
 *
 * @param attempts - Every attempt of the request at any endpoint.
 * @param maySendAgain - Whether the router may still send the request.
 * @param priorExecution - What is known of earlier requests with the same idempotency key.
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

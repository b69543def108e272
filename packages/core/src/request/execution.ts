import * as model from '../model/index.js';
import * as attempt from './attempt.js';

/** What is known of earlier requests with the same idempotency key. */
export enum PriorRun {
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
 * @param willSendAgain - Whether the router may still send the request.
 * @param prior - What is known of earlier requests with the same idempotency key.
 */
export function decideExecution(
	attempts: readonly attempt.Attempt[],
	willSendAgain: boolean,
	prior: PriorRun = PriorRun.None,
): model.ExecutionState {
	const isAnswered = attempts.some(item => item.progress === attempt.AttemptProgress.AnsweredWhole);
	if (isAnswered || prior === PriorRun.Done) {
		return model.ExecutionState.Done;
	}

	if (willSendAgain || prior === PriorRun.Possible) {
		return model.ExecutionState.Unknown;
	}

	return attempts.every(item => attempt.hasNotRun(item)) ? model.ExecutionState.NotRun : model.ExecutionState.Unknown;
}

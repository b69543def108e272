import type * as model from '../model/index.js';
import type * as attempt from './attempt.js';
import * as execution from './execution.js';

/** Options of {@link createRefusal}. */
export type RefusalOptions = {
	readonly message: string;
	/** Milliseconds until trying again can help; absent when it cannot. Rounded up, at least 1. */
	readonly retryAfterMs?: number;
	/** Findings about the input. */
	readonly findings?: readonly model.Finding[];
	/** What is known of earlier requests with the same idempotency key; none by default. */
	readonly priorExecution?: execution.PriorExecution;
	/** Whether the router may still send the request; false by default. */
	readonly maySendAgain?: boolean;
};

/**
 * Builds a refusal; the only builder of refusals.
 *
 * @param code - Why the request is refused.
 * @param attempts - Every attempt of the request at any endpoint; they decide the execution state.
 */
export function createRefusal(
	code: model.ErrorCode,
	attempts: readonly attempt.Attempt[],
	options: RefusalOptions,
): model.Refusal {
	const {message, retryAfterMs, findings, priorExecution, maySendAgain = false} = options;
	return {
		code,
		execution: execution.decideExecution(attempts, maySendAgain, priorExecution),
		message,
		...(retryAfterMs === undefined ? {} : {retryAfterMs: Math.max(1, Math.ceil(retryAfterMs))}),
		...(findings === undefined ? {} : {findings}),
	};
}

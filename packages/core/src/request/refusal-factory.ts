import type * as model from '../model/index.js';
import type * as attempt from './attempt.js';
import * as execution from './execution.js';

/** Options of {@link createRefusal}. */
export type RefusalOptions = {
	readonly message: string;
	/** Time until a retry can succeed, in milliseconds; absent when a retry cannot succeed. Rounded up, at least 1. */
	readonly retryAfterMs?: number;
	/** Findings about the input. */
	readonly findings?: readonly model.Finding[];
	/** What is known about earlier requests with the same idempotency key; `None` by default. */
	readonly priorExecution?: execution.PriorExecution;
	/** Whether the router may still send the request; false by default. */
	readonly maySendAgain?: boolean;
};

/**
 * Creates a refusal. All refusals are created here, so that their execution state is decided in one place.
 *
 * @param code - Why the request is refused.
 * @param attempts - Every attempt of the request at any endpoint; the execution state is derived from them.
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

import type * as errorCode from './error-code.js';
import type * as executionState from './execution-state.js';

/** One thing that is wrong with an input, with its place. */
export type Finding = {
	/** Where: a JSON pointer, a header name or `file:line:column`. */
	readonly place: string;
	readonly message: string;
};

/** An answer that is not the endpoint's own. */
export type Refusal = {
	readonly code: errorCode.ErrorCode;
	readonly execution: executionState.ExecutionState;
	readonly message: string;
	/** Milliseconds until trying again can help; absent when it cannot. */
	readonly retryAfterMs?: number;
	readonly findings?: readonly Finding[];
};

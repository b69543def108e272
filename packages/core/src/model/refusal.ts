import type * as errorCode from './error-code.js';
import type * as executionState from './execution-state.js';

/** One problem in an input, with its location. */
export type Finding = {
	/** Location of the problem: a JSON pointer, a header name or `file:line:column`. */
	readonly place: string;
	readonly message: string;
};

/** Error response to a caller that does not come from an endpoint. */
export type Refusal = {
	readonly code: errorCode.ErrorCode;
	readonly execution: executionState.ExecutionState;
	readonly message: string;
	/** Milliseconds after which a retry can succeed; absent when it cannot. */
	readonly retryAfterMs?: number;
	readonly findings?: readonly Finding[];
};

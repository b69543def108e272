import type * as core from '@bluebellmast/core';
import type * as wire from '@bluebellmast/wire';
import type * as answerModule from '../http/answer.js';
import type * as call from './call.js';

/** Everything that the filters know of one request. Each filter fills in its own fields. */
export type RequestContext = {
	readonly id: core.model.RequestId;
	/** Milliseconds since the Unix epoch. */
	readonly arrivedAt: number;
	readonly headers: RequestHeaders;
	readonly call: call.Call;
	readonly response: answerModule.Answer;
	/** Configuration that the request is decided by. */
	readonly manifest: core.model.Manifest;
	/** Set by the account filter. */
	account?: core.model.ClientAccount;
	/** Set by the account filter. */
	kind?: core.model.RequestKind;
	/** Milliseconds since the Unix epoch; set by the deadline filter. */
	deadlineAt?: number;
	/** Aborted when the caller goes away or the deadline passes; set by the deadline filter. */
	signal?: AbortSignal;
	/** Ends the deadline once the answer has begun; set by the deadline filter. */
	cancelDeadline?: () => void;
	/** Tells admission that the answer has begun; set by the limits filter for calls that use a pool. */
	recordResponseStart?: () => void;
	/** Prompt in pieces; set by the prefix filter for chat calls. */
	prompt?: core.cache.SplitPrompt;
	/** Token counts of the answer; set by the dispatch filter. */
	usage?: wire.endpoint.CompletionUsage;
	/** How the request ended; set by the dispatch filter. */
	outcome?: RequestOutcome;
};

/** How a request ended, for the ledger. */
export type RequestOutcome = {
	readonly execution: core.model.ExecutionState;
	/** The whole answer of a plain service, when there is one. */
	readonly response?: answerModule.WholeAnswer;
};

/** The request headers that filters read. */
export type RequestHeaders = {
	readonly authorization?: string;
	readonly idempotencyKey?: string;
	readonly deadlineMs?: string;
	readonly requestKind?: string;
};

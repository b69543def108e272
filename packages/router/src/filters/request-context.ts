import type * as core from '@bluebellmast/core';
import type * as wire from '@bluebellmast/wire';
import type * as responseWriter from '../http/response-writer.js';
import type * as call from './call.js';

/** State of one request in the filter chain. Each filter sets its own fields. */
export type RequestContext = {
	readonly id: core.model.RequestId;
	/** Milliseconds since the Unix epoch. */
	readonly arrivedAt: number;
	readonly headers: RequestHeaders;
	readonly call: call.Call;
	readonly response: responseWriter.ResponseWriter;
	/** Manifest that was active when the request arrived; used for all decisions on it. */
	readonly manifest: core.model.Manifest;
	/** Set by the account filter. */
	account?: core.model.ClientAccount;
	/** Set by the account filter. */
	kind?: core.model.RequestKind;
	/** Milliseconds since the Unix epoch; set by the deadline filter. */
	deadlineAt?: number;
	/** Aborted when the caller disconnects or the deadline passes; set by the deadline filter. */
	signal?: AbortSignal;
	/** Cancels the deadline; called when the response starts. Set by the deadline filter. */
	cancelDeadline?: () => void;
	/** Informs the admission control that the response has started; set by the limits filter. */
	recordResponseStart?: () => void;
	/** Prompt, split into pieces; set by the prefix filter for chat calls. */
	prompt?: core.cache.SplitPrompt;
	/** Token counts of the response; set by the dispatch filter. */
	usage?: wire.endpoint.CompletionUsage;
	/** Outcome of the request; set by the dispatch filter. */
	outcome?: RequestOutcome;
};

/** Outcome of a request, to be recorded in the ledger. */
export type RequestOutcome = {
	readonly execution: core.model.ExecutionState;
	/** The complete response of a plain service, if there is one. */
	readonly response?: responseWriter.BufferedResponse;
};

/** The request headers that filters read. */
export type RequestHeaders = {
	readonly authorization?: string;
	readonly idempotencyKey?: string;
	readonly deadlineMs?: string;
	readonly requestKind?: string;
};

import type * as core from '@bluebellmast/core';

/** Response to `GET /v1/load` of an engine or a plain service; it may be out of date. */
export type LoadReport = {
	readonly incarnation: core.model.Incarnation;
	/** Increases with each report of an incarnation. */
	readonly sequence: number;
	/** Number of requests in execution. */
	readonly running: number;
	/** Number of requests in the queue. */
	readonly queued: number;
	/** Prompt tokens whose prefill has not been computed yet. */
	readonly queuedTokens: number;
	/** Tokens in the KV cache; 0 for plain services. */
	readonly cachedTokens: number;
	/** Capacity of the KV cache in tokens; 0 for plain services. */
	readonly cacheLimitTokens: number;
	/** Weights that are loaded. */
	readonly weights: readonly core.model.WeightsKey[];
	/** Whether the endpoint is about to shut down. */
	readonly leaving: boolean;
};

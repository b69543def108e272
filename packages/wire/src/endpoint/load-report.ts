import type * as core from '@bluebellmast/core';

/** Body of `GET /v1/load` of an engine or a plain service; it lags the truth. */
export type LoadReport = {
	readonly incarnation: core.model.Incarnation;
	/** Grows with each report of an incarnation. */
	readonly sequence: number;
	/** Requests being worked on. */
	readonly running: number;
	readonly queued: number;
	/** Prompt tokens waiting to be computed. */
	readonly queuedTokens: number;
	/** Cached tokens and the limit, 0 for plain services. */
	readonly cachedTokens: number;
	readonly cacheLimitTokens: number;
	/** Text forms of loaded weights. */
	readonly weights: readonly core.model.WeightsKey[];
	/** Whether the endpoint is going away. */
	readonly leaving: boolean;
};

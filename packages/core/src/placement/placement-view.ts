import type * as ids from '../model/ids.js';
import type * as weights from '../model/weights.js';
import type * as placementRequest from './placement-request.js';

/** One endpoint as this router sees it at the time of a placement decision. */
export type EndpointView = {
	readonly endpoint: ids.EndpointId;
	readonly service: ids.ServiceId;
	/** Absent until the endpoint has reported. */
	readonly incarnation?: ids.Incarnation;
	readonly dataCentre: ids.DataCentreId;
	/** Number of requests that it processes at once. */
	readonly capacity: number;
	readonly reachable: boolean;
	/** Shutting down, according to any source. */
	readonly leaving: boolean;
	/** Excluded while an order, such as a roll-out, is carried out. */
	readonly draining: boolean;
	/** Whether it accepts prompts; an engine with role `decode` does not. */
	readonly takesPrompts: boolean;
	/** Weights that are loaded. */
	readonly weights: ReadonlySet<weights.WeightsKey>;
	/** Estimated number of running and queued requests, from the last report and the dispatches since. */
	readonly load: number;
	/** Estimated prompt tokens that wait to be computed, from the same sources. */
	readonly queuedTokens: number;
	/** Prompt tokens that it computes per millisecond, as measured on responses to this router. */
	readonly prefillTokensPerMs: number;
	/** Estimated time until a request that is placed now gets a slot and its prefill begins, in milliseconds. */
	readonly queueMs: number;
};

/** Prompt tokens that an endpoint is expected to have cached. */
export type PrefixHit = {
	readonly endpoint: ids.EndpointId;
	readonly incarnation: ids.Incarnation;
	/** Leading tokens that are confirmed as cached. */
	readonly tokens: number;
	/** Leading tokens including pieces that are unconfirmed since a gap in the engine's events. */
	readonly tokensWithUnconfirmed: number;
};

/** Information that a policy has at the time of a decision. */
export type PlacementView = {
	/** Endpoints of the request's service, in a fixed order. */
	readonly endpoints: readonly EndpointView[];
	/** Engines that are expected to have the beginning of the prompt cached, longest match first. */
	hits(request: placementRequest.PlacementRequest): readonly PrefixHit[];
	/** Leading tokens of the prompt that the KV cache store holds. */
	storedTokens(request: placementRequest.PlacementRequest): number;
	/** Number of home endpoints of a level of the prefix; at least 1. */
	homeCount(homeKey: string, now: number): number;
	/** Indexes into `homeKeys` at which a level begins, in ascending order; empty without a whole piece. */
	levels(homeKeys: readonly string[], now: number): readonly number[];
};

import type * as ids from '../model/ids.js';
import type * as weights from '../model/weights.js';
import type * as placementRequest from './placement-request.js';

/** One endpoint as this router sees it at the time of a decision. */
export type EndpointView = {
	readonly endpoint: ids.EndpointId;
	readonly service: ids.ServiceId;
	/** Absent until the endpoint has reported. */
	readonly incarnation?: ids.Incarnation;
	readonly dataCentre: ids.DataCentreId;
	/** Requests that it works on at once. */
	readonly capacity: number;
	readonly reachable: boolean;
	/** Going away, from whichever source says so first. */
	readonly leaving: boolean;
	/** Taken out for an order, such as a roll-out. */
	readonly draining: boolean;
	/** Whether it takes prompts (an engine of role `decode` does not). */
	readonly takesPrompts: boolean;
	/** Weights that it holds. */
	readonly weights: ReadonlySet<weights.WeightsKey>;
	/** Estimated requests running and queued: last report, discounted by age, plus own dispatches since. */
	readonly load: number;
	/** Estimated prompt tokens that wait to be computed, on the same terms. */
	readonly queuedTokens: number;
	/** Prompt tokens a millisecond, as measured on own answers. */
	readonly prefillTokensPerMs: number;
	/** Estimated milliseconds until a request that is placed now gets a slot. */
	readonly queueMs: number;
};

/** Tokens of a prompt that an endpoint is believed to hold. */
export type PrefixHit = {
	readonly endpoint: ids.EndpointId;
	readonly incarnation: ids.Incarnation;
	/** Leading tokens that are confirmed. */
	readonly tokens: number;
	/** Leading tokens when pieces that a gap of events made doubtful count too. */
	readonly doubtfulTokens: number;
};

/** What a policy may know at the time of a decision. */
export type PlacementView = {
	/** Endpoints of the request's service, in a fixed order. */
	readonly endpoints: readonly EndpointView[];
	/** Engines that are believed to hold the beginning of the prompt, longest first. */
	hits(request: placementRequest.PlacementRequest): readonly PrefixHit[];
	/** Leading tokens of the prompt that the store of kept KV cache holds. */
	storedTokens(request: placementRequest.PlacementRequest): number;
	/** Number of homes that a level of the prefix gets, at least 1. */
	homeCount(homeKey: string, now: number): number;
	/** Indexes into `homeKeys` that begin a level, first level first; empty when there is no whole piece. */
	levels(homeKeys: readonly string[], now: number): readonly number[];
};

import type * as prefixKeys from '../cache/prefix-keys.js';
import type * as ids from '../model/ids.js';
import type * as weights from '../model/weights.js';

/** A request to be placed on an endpoint. */
export type PlacementRequest = {
	readonly requestId: ids.RequestId;
	readonly account: ids.AccountId;
	readonly service: ids.ServiceId;
	/** Text form of the weights that the endpoint must hold; absent for plain services. */
	readonly weights?: weights.WeightsKey;
	/** Prefix pieces with keys for account and weights; empty for plain services. */
	readonly pieces: readonly prefixKeys.PrefixPiece[];
	/** Version-independent keys of the same pieces. */
	readonly homeKeys: readonly string[];
	/** Tokens of the whole prompt; 0 for plain services. */
	readonly promptTokens: number;
	/** Maximum number of generated tokens; 0 for plain services. */
	readonly maxTokens: number;
	/** Endpoints that must not be used, such as those that failed this request. */
	readonly excluded: ReadonlySet<ids.EndpointId>;
};

/** The endpoint that was chosen for a request. */
export type Placement = {
	readonly endpoint: ids.EndpointId;
	/** Incarnation that the decision is based on; absent when unknown. */
	readonly incarnation?: ids.Incarnation;
	/** Prompt tokens that the endpoint is expected to have cached. */
	readonly expectedCachedTokens: number;
	/** Keys of the pieces to import from the KV cache store before prefill. */
	readonly importKeys: readonly string[];
};

import type * as prefixKeys from '../cache/prefix-keys.js';
import type * as ids from '../model/ids.js';
import type * as weights from '../model/weights.js';

/** What is to be placed. */
export type PlacementRequest = {
	readonly requestId: ids.RequestId;
	readonly account: ids.AccountId;
	readonly service: ids.ServiceId;
	/** Text form of the weights that must answer; absent for plain services. */
	readonly weights?: weights.WeightsKey;
	/** Pieces bound to account and weights; empty for plain services. */
	readonly pieces: readonly prefixKeys.PrefixPiece[];
	/** Version-independent keys of the same pieces. */
	readonly homeKeys: readonly string[];
	/** Tokens of the whole prompt; 0 for plain services. */
	readonly promptTokens: number;
	/** Tokens that the answer may take; 0 for plain services. */
	readonly maxTokens: number;
	/** Endpoints that are not to be used, such as those that failed this request. */
	readonly excluded: ReadonlySet<ids.EndpointId>;
};

/** Where a request goes. */
export type Placement = {
	readonly endpoint: ids.EndpointId;
	/** Incarnation that the decision was made for; absent when none is known yet. */
	readonly incarnation?: ids.Incarnation;
	/** Prompt tokens that the endpoint is believed to hold. */
	readonly expectedCachedTokens: number;
	/** Keys that are worth an import from the store of kept KV cache first. */
	readonly importKeys: readonly string[];
};

/** Body of `POST /v1/cache/export` and `POST /v1/cache/import`: moves pieces to or from a store of kept KV cache. */
export type CacheTransferRequest = {
	readonly keys: readonly string[];
	/** IP number and port of the store. */
	readonly store: string;
};

/** Answer to a transfer. */
export type CacheTransferResponse = {
	/** Keys that were moved. */
	readonly moved: readonly string[];
};

/** Body of `POST /v1/cache/export` and `POST /v1/cache/import`: copies prefix pieces of the KV cache to or from a cache store. */
export type CacheTransferRequest = {
	readonly keys: readonly string[];
	/** IP address and port of the cache store. */
	readonly store: string;
};

/** Response to a transfer. */
export type CacheTransferResponse = {
	/** Keys of the pieces that were transferred. */
	readonly moved: readonly string[];
};

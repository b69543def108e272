/** What was observed of a prompt part or of the cache store. */
export enum CacheObservationType {
	/** The part was sent to the endpoint. */
	Sent = 'sent',
	/** The endpoint computed the part and saves it to the cache store. */
	Computed = 'computed',
	/** The cache store has the part. */
	Stored = 'stored',
	/** The cache store evicted the part. */
	Evicted = 'evicted',
	/** The cache store lost all parts, or its event stream has a gap. */
	StoreReset = 'store_reset',
	/** The cache store does not respond. */
	StoreDown = 'store_down',
}

/** An observation of where a prompt part is cached or of the state of the cache store. */
export type CacheObservation = {
	readonly type: CacheObservationType;
	/** Key of the part with its cache namespace, which includes the weights version; empty for the store as a whole. */
	readonly key: string;
	/** Endpoint that the part was sent to; empty for observations of the store. */
	readonly endpoint: string;
};

/** What a sign tells of a prompt part or of the cache store. */
export enum CacheObservationType {
	/** The part was sent to the endpoint. */
	Sent = 'sent',
	/** The endpoint computed the part, and saves it to the cache store. */
	Computed = 'computed',
	/** The cache store has the part. */
	Stored = 'stored',
	/** The cache store dropped the part. */
	Evicted = 'evicted',
	/** The cache store lost all parts, or its news have a gap. */
	StoreReset = 'store_reset',
	/** The cache store does not answer. */
	StoreDown = 'store_down',
}

/** A sign of where prompt parts are cached. */
export type CacheObservation = {
	readonly type: CacheObservationType;
	/** Part with its cache namespace, which holds the version of the weights; empty for signs of the store as a whole. */
	readonly key: string;
	/** Endpoint that a part was sent to; empty for signs of the store. */
	readonly endpoint: string;
};

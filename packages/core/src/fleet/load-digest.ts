import type * as cacheObservation from './cache-observation.js';

/** What one VM has under way at one endpoint. */
export type EndpointDigest = {
	readonly endpoint: string;
	/** Requests under way. */
	readonly active: number;
	/** Prompt tokens of these requests that the endpoint has still to compute. */
	readonly prefillTokens: number;
	/** Milliseconds since the endpoint sent anything to this VM; absent where it never did. */
	readonly sinceLastReceivedMs?: number;
};

/** What one VM has under way and what it learned since its last digest, sent to the others. */
export type LoadDigest = {
	readonly vm: string;
	/** Grows with each digest of a process; a new process begins with a larger number. */
	readonly sequence: number;
	readonly endpoints: readonly EndpointDigest[];
	/** Signs of where large prompt parts are cached. */
	readonly cacheObservations: readonly cacheObservation.CacheObservation[];
};

import type * as cacheObservation from './cache-observation.js';
import type * as leavingEndpoints from './leaving-endpoints.js';

/** Load that one VM puts on one endpoint. */
export type EndpointDigest = {
	readonly endpoint: string;
	/** Requests in flight. */
	readonly active: number;
	/** Prompt tokens of these requests that the endpoint still has to compute. */
	readonly prefillTokens: number;
	/** Milliseconds since the endpoint last sent data to this VM; absent if it never did. */
	readonly sinceLastReceivedMs?: number;
};

/** Summary that a VM sends to the others: its load on the endpoints and its cache observations since the last digest. */
export type LoadDigest = {
	readonly vm: string;
	/** Increases with each digest of a process; a new process starts with a larger number. */
	readonly sequence: number;
	readonly endpoints: readonly EndpointDigest[];
	/** Observations of where large prompt parts are cached. */
	readonly cacheObservations: readonly cacheObservation.CacheObservation[];
	/** Endpoints that told this VM that they are leaving; absent if there are none, or in digests of older versions. */
	readonly leavingEndpoints?: readonly leavingEndpoints.EndpointIncarnation[];
};

import type * as cacheObservation from './cache-observation.js';
import type * as loadDigest from './load-digest.js';

/** What a VM sends the others about one endpoint between two digests, as soon as it changes by a large request. */
export type LoadUpdate = {
	readonly vm: string;
	/** From the sequence of the VM's digests. */
	readonly sequence: number;
	/** All of the VM's load on the endpoint. */
	readonly load: loadDigest.EndpointDigest;
	/** Observations of prompt parts at this endpoint. */
	readonly cacheObservations: readonly cacheObservation.CacheObservation[];
};

import type * as statedLimits from '../limits/stated-limits.js';
import type * as quarantineDigest from '../quarantine/quarantine-digest.js';
import type * as namingTime from '../rollout/naming-time.js';
import type * as cacheObservation from './cache-observation.js';
import type * as endpointEntry from './endpoint-entry.js';
import type * as peerReach from './peer-reach.js';

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

/** A pause that an endpoint asked one VM for. */
export type PauseDigest = {
	readonly endpoint: string;
	/** Start time of the incarnation, in Unix milliseconds; 0 when unknown. */
	readonly bornAt: number;
	/** Time until the end of the pause, in milliseconds. */
	readonly remainingMs: number;
};

/** Summary that a VM sends to the others: its load on the endpoints and its cache observations since the last digest. */
export type LoadDigest = {
	readonly vm: string;
	/** Random number of the sender's process; absent in digests of older versions. */
	readonly process?: number;
	/** Increases with each digest of a process. */
	readonly sequence: number;
	readonly endpoints: readonly EndpointDigest[];
	/** Observations of where large prompt parts are cached. */
	readonly cacheObservations: readonly cacheObservation.CacheObservation[];
	/** Some of the pauses that endpoints asked the VM for; absent if it does not tell of them. */
	readonly pauses?: readonly PauseDigest[];
	/** Some of the limits that endpoints state, and of their ends; absent if there are none. */
	readonly limits?: readonly statedLimits.LimitDigest[];
	/** Endpoints that told this VM that they are leaving; absent if there are none, or in digests of older versions. */
	readonly leavingEndpoints?: readonly endpointEntry.EndpointIncarnation[];
	/** The pools that the VM reaches; absent if it opens no connections for others, or in digests of older versions. */
	readonly reach?: peerReach.ReachDigest;
	/** Evidence on prompt parts that end endpoints; absent if there is none. */
	readonly quarantine?: quarantineDigest.QuarantineDigest;
	/** Ages of versions that were named lately; absent if there are none, or in digests of older versions. */
	readonly versionAges?: readonly namingTime.VersionAge[];
};

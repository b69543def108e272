import type * as ids from '../model/ids.js';
import * as rendezvous from '../util/rendezvous.js';

/** Options that decide which routers follow the cache events of which engines. */
export type FollowPlanOptions = {
	/** Number of event streams in the whole fleet up to which every router follows every engine. Default 512. */
	readonly maxStreams?: number;
	/** Number of routers that follow each engine in a larger fleet. Default 2. */
	readonly followers?: number;
};

/** Returns whether every router follows every engine. */
export function followsAllEngines(routers: number, engines: number, options: FollowPlanOptions = {}): boolean {
	return routers * engines <= (options.maxStreams ?? 512);
}

/** Returns the engines whose cache events a router follows; consistent across routers with the same member list. */
export function chooseFollowedEngines(
	vm: ids.VmId,
	members: readonly ids.VmId[],
	engines: readonly ids.EndpointId[],
	options: FollowPlanOptions = {},
): ids.EndpointId[] {
	if (followsAllEngines(members.length, engines.length, options)) {
		return [...engines];
	}

	const followers = options.followers ?? 2;
	return engines.filter(engine => rendezvous.rankByRendezvous(engine, members).slice(0, followers).includes(vm));
}

/** Options that limit the size of cache digests, which list cached prompt pieces for routers that do not follow the engines. */
export type DigestOptions = {
	/** Bytes of digests that a router may receive per second. Default 4000. */
	readonly bytesPerSecond?: number;
	/** Time between the digests of a router, in milliseconds. */
	readonly intervalMs: number;
};

/** Bytes of the limit that are counted for each key; a packed key itself takes 8. */
const bytesPerDigestKey = 24;
const maxDigestKeys = 1024;

/** Returns how many keys a digest may contain so that the digests from all other routers stay within the byte limit. */
export function maxDigestKeysFor(routers: number, options: DigestOptions): number {
	const bytes = (options.bytesPerSecond ?? 4000) * options.intervalMs / 1000;
	return Math.min(maxDigestKeys, Math.floor(bytes / (Math.max(1, routers - 1) * bytesPerDigestKey)));
}

import type * as ids from '../model/ids.js';
import * as rendezvous from '../util/rendezvous.js';

/** Options of who follows whose cache events. */
export type FollowPlanOptions = {
	/** Event streams over the whole fleet up to which every router follows every engine. Default 512. */
	readonly maxStreams?: number;
	/** Routers that follow one engine in a larger fleet. Default 2. */
	readonly followers?: number;
};

/** Whether every router follows every engine. */
export function followsAll(routers: number, engines: number, options: FollowPlanOptions = {}): boolean {
	return routers * engines <= (options.maxStreams ?? 512);
}

/** Returns the engines whose cache events a router follows; alike on all routers that see the same members. */
export function planFollowing(
	vm: ids.VmId,
	members: readonly ids.VmId[],
	engines: readonly ids.EndpointId[],
	options: FollowPlanOptions = {},
): ids.EndpointId[] {
	if (followsAll(members.length, engines.length, options)) {
		return [...engines];
	}

	const followers = options.followers ?? 2;
	return engines.filter(engine => rendezvous.rankByRendezvous(engine, members).slice(0, followers).includes(vm));
}

/** Options of the size of digests. */
export type DigestOptions = {
	/** Bytes a second that a router may receive as digests. Default 4000. */
	readonly bytesPerSecond?: number;
	/** Milliseconds between digests of a router. */
	readonly intervalMs: number;
};

const bytesPerDigestKey = 24;
const maxDigestKeys = 1024;

/** Returns the keys that one digest may carry, so that the digests of all other routers stay within the bound. */
export function maxDigestKeysFor(routers: number, options: DigestOptions): number {
	const bytes = (options.bytesPerSecond ?? 4000) * options.intervalMs / 1000;
	return Math.min(maxDigestKeys, Math.floor(bytes / (Math.max(1, routers - 1) * bytesPerDigestKey)));
}

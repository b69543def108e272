import type * as ids from '../model/ids.js';
import * as rendezvous from '../util/rendezvous.js';

/** Who reads the load of which endpoint. */
export type WatchLimits = {
	/** Routers up to which each reads all endpoints. */
	readonly readAllUpTo: number;
	/** Routers that read an endpoint in a larger fleet. */
	readonly watchers: number;
};

/** Default limits. */
export const defaultWatchLimits: WatchLimits = {readAllUpTo: 12, watchers: 2};

/** Returns the endpoints that a router reads; routers that know the same members agree on it. */
export function watchedEndpoints(
	self: ids.VmId,
	members: readonly ids.VmId[],
	endpoints: readonly ids.EndpointId[],
	limits: WatchLimits = defaultWatchLimits,
): ids.EndpointId[] {
	if (members.length <= limits.readAllUpTo) {
		return [...endpoints];
	}

	return endpoints.filter(endpoint => rendezvous
		.rankByRendezvous(endpoint, members)
		.slice(0, limits.watchers)
		.includes(self));
}

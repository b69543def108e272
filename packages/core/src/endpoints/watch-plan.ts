import type * as ids from '../model/ids.js';
import * as rendezvous from '../util/rendezvous.js';

/** Limits that decide which routers read the load of which endpoints. */
export type WatchLimits = {
	/** Number of routers up to which every router reads all endpoints. */
	readonly maxRoutersReadingAll: number;
	/** Number of routers that read each endpoint in a larger fleet. */
	readonly readersPerEndpoint: number;
};

export const defaultWatchLimits: WatchLimits = {maxRoutersReadingAll: 12, readersPerEndpoint: 2};

/** Returns the endpoints that a router reads. Routers that know the same members compute a consistent assignment. */
export function chooseWatchedEndpoints(
	self: ids.VmId,
	members: readonly ids.VmId[],
	endpoints: readonly ids.EndpointId[],
	limits: WatchLimits = defaultWatchLimits,
): ids.EndpointId[] {
	if (members.length <= limits.maxRoutersReadingAll) {
		return [...endpoints];
	}

	return endpoints.filter(endpoint => rendezvous
		.rankByRendezvous(endpoint, members)
		.slice(0, limits.readersPerEndpoint)
		.includes(self));
}

import type * as ids from '../model/ids.js';
import * as rendezvous from '../util/rendezvous.js';

/** Who reads the load of which endpoint. */
export type WatchLimits = {
	/** Routers up to which each reads all endpoints. */
	readonly maxRoutersReadingAll: number;
	/** Routers that read an endpoint in a larger fleet. */
	readonly readersPerEndpoint: number;
};

/** Default limits. */
export const defaultWatchLimits: WatchLimits = {maxRoutersReadingAll: 12, readersPerEndpoint: 2};

/** Returns the endpoints that a router reads; routers that know the same members agree on it. */
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

import * as core from '@bluebellmast/core';

/** Creates the entry of an engine with defaults for the fields that a test does not set. */
export function createEntry(id: string, changes: Partial<core.fleet.EndpointEntry> = {}): core.fleet.EndpointEntry {
	return {
		id,
		bornAt: 1,
		pool: 'llm',
		address: '10.0.0.1:80',
		dataCentre: 'dc-a',
		slots: 64,
		state: core.fleet.EndpointState.Ready,
		weights: new Map([['m', 1]]),
		...changes,
	};
}

/** Creates a candidate for placement in the cache namespace `n`. */
export function createCandidate(id: string, changes: Partial<core.fleet.Candidate> = {}): core.fleet.Candidate {
	return {
		entry: createEntry(id), hasOldWeights: false, startWithinMs: Infinity, cacheNamespace: 'n', ...changes,
	};
}

/** Creates a view without any load or observation. */
export function createView(): core.fleet.PlacementView {
	return {
		loads: new core.fleet.EndpointLoads(),
		peers: new core.fleet.PeerLoads(),
		health: new core.fleet.EndpointHealth(),
		parts: new core.fleet.PartLocations(),
		homes: new core.placement.HomeRanker(),
		costs: core.fleet.defaultPlacementCosts,
	};
}

/** Returns the interval in which a version was named that was read at once. */
export function readAt(before: number): core.store.ChangeInterval {
	return {after: before - 100, assumed: before, before};
}

import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const {
	Sent: sent, Computed: computed, Stored: stored, Evicted: evicted, StoreReset: storeReset, StoreDown: storeDown,
} = core.fleet.CacheObservationType;

function observation(type: core.fleet.CacheObservationType, key = 'n/p', endpoint = 'a'): core.fleet.CacheObservation {
	return {type, key, endpoint};
}

describe('PartLocations', () => {
	it('expects a part in the cache of the endpoint that it was sent to, until its lifetime ends', () => {
		const locations = new core.fleet.PartLocations();
		locations.applyObservation(observation(sent), 0);
		expect(locations.isCached('n/p', 'a', 5999)).to.equal(true);
		expect(locations.isCached('n/p', 'a', 6000)).to.equal(false);
		expect(locations.isCached('n/p', 'b', 0)).to.equal(false);
		expect(locations.isCached('other/p', 'a', 0)).to.equal(false);
	});

	it('expects a part in the cache store only after it was computed', () => {
		const locations = new core.fleet.PartLocations();
		locations.applyObservation(observation(sent), 0);
		expect(locations.storedAgeMs('n/p', 10)).to.equal(Infinity);
		locations.applyObservation(observation(computed), 100);
		locations.applyObservation(observation(sent, 'n/p', 'b'), 200);
		expect(locations.storedAgeMs('n/p', 300)).to.equal(200);
		expect(locations.storedAgeMs('n/p', 100 + 40_000)).to.equal(Infinity);
	});

	it('applies stored, evicted and reset observations of the cache store', () => {
		const locations = new core.fleet.PartLocations();
		locations.applyObservation(observation(stored), 0);
		locations.applyObservation(observation(stored, 'n/q'), 0);
		locations.applyObservation(observation(evicted), 100);
		expect(['n/p', 'n/q'].map(key => locations.storedAgeMs(key, 200))).to.deep.equal([Infinity, 200]);
		locations.applyObservation(observation(storeReset, '', ''), 300);
		expect(locations.storedAgeMs('n/q', 300)).to.equal(Infinity);
	});

	// While the cache store is down, each request that fetches from it is delayed by several hundred milliseconds.
	it('does not use a cache store for 2.5 s after it failed to respond', () => {
		const locations = new core.fleet.PartLocations();
		expect(locations.isStoreUsable(0)).to.equal(true);
		locations.applyObservation(observation(storeDown, '', ''), 1000);
		expect([1000, 3499, 3500].map(now => locations.isStoreUsable(now))).to.deep.equal([false, false, true]);
	});

	it('evicts the least recently updated parts above the limit', () => {
		const locations = new core.fleet.PartLocations({...core.fleet.defaultPartLocationsOptions, maxParts: 2});
		for (const key of ['p', 'q', 'p', 'r']) {
			locations.applyObservation(observation(sent, key), 0);
		}

		expect(['p', 'q', 'r'].map(key => locations.isCached(key, 'a', 0))).to.deep.equal([true, false, true]);
	});
});

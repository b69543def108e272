import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const {
	Sent: sent, Computed: computed, Stored: stored, Evicted: evicted, StoreReset: storeReset, StoreDown: storeDown,
} = core.fleet.CacheObservationType;

function sign(type: core.fleet.CacheObservationType, key = 'n/p', endpoint = 'a'): core.fleet.CacheObservation {
	return {type, key, endpoint};
}

describe('PartPlaces', () => {
	it('expects a part where it was sent, for as long as engines keep it', () => {
		const places = new core.fleet.PartLocations();
		places.applyObservation(sign(sent), 0);
		expect(places.isCached('n/p', 'a', 5999)).to.equal(true);
		expect(places.isCached('n/p', 'a', 6000)).to.equal(false);
		expect(places.isCached('n/p', 'b', 0)).to.equal(false);
		expect(places.isCached('other/p', 'a', 0)).to.equal(false);
	});

	it('expects a part in the cache store only once it was computed and saved', () => {
		const places = new core.fleet.PartLocations();
		places.applyObservation(sign(sent), 0);
		expect(places.storedAgeMs('n/p', 10)).to.equal(Infinity);
		places.applyObservation(sign(computed), 100);
		places.applyObservation(sign(sent, 'n/p', 'b'), 200);
		expect(places.storedAgeMs('n/p', 300)).to.equal(200);
		expect(places.storedAgeMs('n/p', 100 + 40_000)).to.equal(Infinity);
	});

	it('follows the news of the cache store', () => {
		const places = new core.fleet.PartLocations();
		places.applyObservation(sign(stored), 0);
		places.applyObservation(sign(stored, 'n/q'), 0);
		places.applyObservation(sign(evicted), 100);
		expect(['n/p', 'n/q'].map(key => places.storedAgeMs(key, 200))).to.deep.equal([Infinity, 200]);
		places.applyObservation(sign(storeReset, '', ''), 300);
		expect(places.storedAgeMs('n/q', 300)).to.equal(Infinity);
	});

	// Pattern: the cache store is down, and each request that fetches from it waits some hundred milliseconds for nothing.
	it('leaves a cache store that does not answer', () => {
		const places = new core.fleet.PartLocations();
		expect(places.isStoreUsable(0)).to.equal(true);
		places.applyObservation(sign(storeDown, '', ''), 1000);
		expect([1000, 3499, 3500].map(now => places.isStoreUsable(now))).to.deep.equal([false, false, true]);
	});

	it('forgets the parts that were noted longest ago beyond its bound', () => {
		const places = new core.fleet.PartLocations({...core.fleet.defaultPartLocationsOptions, maxParts: 2});
		for (const key of ['p', 'q', 'p', 'r']) {
			places.applyObservation(sign(sent, key), 0);
		}

		expect(['p', 'q', 'r'].map(key => places.isCached(key, 'a', 0))).to.deep.equal([true, false, true]);
	});
});

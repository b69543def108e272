import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;

describe('PartPlaces', () => {
	it('expects a part where it was sent, for as long as engines keep it', () => {
		const places = new core.fleet.PartPlaces();
		places.note({key: 'n/p', endpoint: 'a', isComputed: false}, 0);
		expect(places.isCached('n/p', 'a', 5999)).to.equal(true);
		expect(places.isCached('n/p', 'a', 6000)).to.equal(false);
		expect(places.isCached('n/p', 'b', 0)).to.equal(false);
		expect(places.isCached('other/p', 'a', 0)).to.equal(false);
	});

	it('expects a part in the cache store only once it was computed and saved', () => {
		const places = new core.fleet.PartPlaces();
		places.note({key: 'n/p', endpoint: 'a', isComputed: false}, 0);
		expect(places.storedForMs('n/p', 10)).to.equal(Infinity);
		places.note({key: 'n/p', endpoint: 'a', isComputed: true}, 100);
		places.note({key: 'n/p', endpoint: 'b', isComputed: false}, 200);
		expect(places.storedForMs('n/p', 300)).to.equal(200);
		expect(places.storedForMs('n/p', 100 + 25_000)).to.equal(Infinity);
		places.forgetStore();
		expect(places.storedForMs('n/p', 300)).to.equal(Infinity);
	});

	it('forgets the parts that were noted longest ago beyond its bound', () => {
		const places = new core.fleet.PartPlaces({cachedMs: 1000, storedMs: 1000, maxParts: 2});
		for (const key of ['p', 'q', 'p', 'r']) {
			places.note({key, endpoint: 'a', isComputed: false}, 0);
		}

		expect(['p', 'q', 'r'].map(key => places.isCached(key, 'a', 0))).to.deep.equal([true, false, true]);
	});
});

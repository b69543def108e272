import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const endpoints = Array.from({length: 65}, (_, index) => `engine-${index}`);
const keys = Array.from({length: 1300}, (_, index) => `prefix-${index}`);

describe('HomeRanker.select', () => {
	it('selects nothing without endpoints', () => {
		expect(new core.placement.HomeRanker().select('key', [])).to.equal(undefined);
	});

	it('selects the same home for any order of the endpoints and on any VM', () => {
		const homes = new core.placement.HomeRanker();
		for (const key of keys) {
			expect(new core.placement.HomeRanker().select(key, endpoints.toReversed())).to.equal(homes.select(key, endpoints));
		}
	});

	it('selects the first one of the ranking', () => {
		const ranker = new core.placement.HomeRanker();
		for (const key of keys) {
			const [first] = ranker.rank(key, endpoints.map(endpoint => ({endpoint})), 1);
			expect(ranker.select(key, endpoints)).to.equal(first!.endpoint);
		}
	});

	it('moves only the keys of an endpoint that leaves', () => {
		const homes = new core.placement.HomeRanker();
		const left = endpoints.slice(1);
		for (const key of keys) {
			const home = homes.select(key, endpoints);
			const newHome = homes.select(key, left);
			expect(newHome === home || home === endpoints[0]).to.equal(true);
		}
	});

	it('spreads the keys over the endpoints', () => {
		const homes = new core.placement.HomeRanker();
		const counts = new Map<string, number>();
		for (const key of keys) {
			const home = homes.select(key, endpoints)!;
			counts.set(home, (counts.get(home) ?? 0) + 1);
		}

		const mean = keys.length / endpoints.length;
		expect(counts.size).to.equal(endpoints.length);
		expect(Math.max(...counts.values())).to.be.lessThan(mean * 2.5);
	});
});

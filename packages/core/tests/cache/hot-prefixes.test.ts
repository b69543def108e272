import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;

describe('HotPrefixes', () => {
	it('assigns the same number of homes by share on routers with the same mix of requests, and reduces it when the share falls', () => {
		const routers = [0, 1, 2].map(() => new core.cache.HotPrefixes({decayMs: 1000}));
		for (let index = 0; index < 900; index++) {
			const key = index % 10 < 5 ? 'hot' : `cold${index % 50}`;
			routers[index % 3]!.record([key], index);
		}

		expect(routers.map(router => router.homeCount('hot', 12, 900))).to.deep.equal([8, 8, 8]);
		expect(routers[0]!.homeCount('cold7', 12, 900)).to.equal(1);
		for (let index = 0; index < 900; index++) {
			routers[0]!.record(['next'], 900 + (index * 10));
		}

		expect(routers[0]!.homeCount('hot', 12, 9900)).to.equal(1);
	});

	it('begins a level where fewer requests share the prefix', () => {
		const hot = new core.cache.HotPrefixes();
		for (let index = 0; index < 40; index++) {
			hot.record(['h0', 'h1', `s${index % 2}`, `q${index}`], index);
		}

		expect(hot.levels(['h0', 'h1', 's0', 'q0', 'q0b'], 40)).to.deep.equal([0, 2, 3]);
		expect(hot.levels(['new', 'new2'], 40)).to.deep.equal([0]);
		expect(hot.levels([], 40)).to.deep.equal([]);
	});

	it('keeps hot keys in bounded memory', () => {
		const hot = new core.cache.HotPrefixes({capacity: 100});
		for (let index = 0; index < 5000; index++) {
			hot.record([`hot${index % 5}`, `once${index}`], index);
		}

		expect(hot.size).to.equal(100);
		expect(new Set(hot.hottest(5, 5000))).to.deep.equal(new Set(['hot0', 'hot1', 'hot2', 'hot3', 'hot4']));
	});
});

import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const members = Array.from({length: 20}, (_, index) => `vm${index}`);
const engines = Array.from({length: 60}, (_, index) => `e${index}`);

describe('chooseFollowedEngines and maxDigestKeysFor', () => {
	it('lets each router follow all engines in a small fleet', () => {
		expect(core.cache.chooseFollowedEngines('vm0', members.slice(0, 6), engines.slice(0, 13))).to.deep.equal(engines.slice(0, 13));
	});

	it('gives each engine two followers in a large fleet', () => {
		const followed = members.flatMap(vm => core.cache.chooseFollowedEngines(vm, members, engines));
		for (const engine of engines) {
			expect(followed.filter(name => name === engine)).to.have.length(2);
		}
	});

	it('keeps the digests from all routers within the byte limit', () => {
		for (const routers of [2, 20, 420]) {
			const keys = core.cache.maxDigestKeysFor(routers, {intervalMs: 10_000, bytesPerSecond: 4000});
			expect(keys * (routers - 1) * 24).to.be.at.most(40_000);
		}
	});
});

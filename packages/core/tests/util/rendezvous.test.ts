import * as chai from 'chai';
import * as fc from 'fast-check';
import * as core from '@bluebellmast/core';

const names = fc.uniqueArray(fc.string({minLength: 1, maxLength: 8}), {minLength: 2, maxLength: 12});

describe('rankByRendezvous', () => {
	it('does not depend on the order of the candidates and preserves the order of the others when one is removed', () => {
		fc.assert(fc.property(fc.string(), names, (key, candidates) => {
			const ranked = core.util.rankByRendezvous(key, candidates);
			chai.expect(core.util.rankByRendezvous(key, [...candidates].reverse())).to.deep.equal(ranked);
			const removed = candidates[0]!;
			const rest = core.util.rankByRendezvous(key, candidates.slice(1));
			chai.expect(rest).to.deep.equal(ranked.filter(name => name !== removed));
			chai.expect(core.util.selectByRendezvous(key, candidates)).to.equal(ranked[0]);
		}), {seed: 5, numRuns: 200});
	});

	it('distributes keys evenly over the candidates', () => {
		const candidates = Array.from({length: 7}, (_, i) => `vm-${i}`);
		const counts = new Map<string, number>();
		for (let key = 0; key < 7000; key++) {
			const best = core.util.rankByRendezvous(`key-${key}`, candidates)[0]!;
			counts.set(best, (counts.get(best) ?? 0) + 1);
		}

		chai.expect(Math.min(...counts.values())).to.be.greaterThan(800);
	});
});

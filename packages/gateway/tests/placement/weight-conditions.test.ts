import * as core from '@bluebellmast/core';
import * as chai from 'chai';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const maxOutdatedMs = 8000;

/** Counts the questions when a version was replaced. */
class CountedTargets extends core.rollout.WeightTargets {
	questions = 0;

	override startWithinMs(model: string, version: number, maxMs: number, now: number): number {
		this.questions += 1;
		return super.startWithinMs(model, version, maxMs, now);
	}
}

function createConditions(targets: core.rollout.WeightTargets, now: number, account?: core.routing.ApiAccount): gateway.placement.WeightConditions {
	return new gateway.placement.WeightConditions({
		targets, model: 'm', account, maxOutdatedMs, now,
	});
}

/** Names version 1, and version 2 at 10 s. */
function createTargets(): CountedTargets {
	const targets = new CountedTargets();
	targets.observe('m', 1, {after: 0, assumed: 0, before: 0});
	targets.observe('m', 2, {after: 10_000, assumed: 10_000, before: 10_000});
	return targets;
}

describe('WeightConditions', () => {
	const cases = [
		{
			sinceMs: 1500, startWithinMs: 6500, canStart: true, hasOldWeights: false,
		},
		{
			sinceMs: 1501, startWithinMs: 6499, canStart: true, hasOldWeights: true,
		},
		{
			sinceMs: 8000, startWithinMs: 0, canStart: false, hasOldWeights: true,
		},
	];
	for (const {sinceMs, ...expected} of cases) {
		it(`of a version that was replaced ${sinceMs} ms ago`, () => {
			expect(createConditions(createTargets(), 10_000 + sinceMs).of(1)).to.deep.equal({...expected, cacheNamespace: 'm@1'});
		});
	}

	it('of the newest version have no limit', () => {
		expect(createConditions(createTargets(), 60_000).of(2)).to.deep.equal({
			startWithinMs: Infinity, canStart: true, hasOldWeights: false, cacheNamespace: 'm@2',
		});
	});

	it('separate the cached state of an isolated account', () => {
		const account: core.routing.ApiAccount = {
			name: 'x', keys: [], priority: undefined, isIsolated: true,
		};
		expect(createConditions(createTargets(), 0, account).of(2).cacheNamespace).to.equal('m@2+x');
		expect(createConditions(createTargets(), 0, {...account, isIsolated: false}).of(2).cacheNamespace).to.equal('m@2');
	});

	it('are derived once for each version', () => {
		const targets = createTargets();
		const conditions = createConditions(targets, 0);
		for (let engine = 0; engine < 465; engine++) {
			conditions.of(1 + (engine % 2));
		}

		expect(targets.questions).to.equal(2);
	});
});

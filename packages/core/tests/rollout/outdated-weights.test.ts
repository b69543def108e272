import * as chai from 'chai';
import * as support from '../support/fleet.js';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const requirements: core.fleet.PlacementRequirements = {
	dataCentre: 'dc-a', parts: [{id: 'question', tokens: 300}], sharedParts: 0,
};

describe('use of replaced weights', () => {
	const cases = [
		{
			name: 'newest weights', startWithinMs: Infinity, firstTokenMs: 60_000, canStart: true,
		},
		{
			name: 'an idle engine and seconds left', startWithinMs: 3000, firstTokenMs: 20, canStart: true,
		},
		{
			name: 'an idle engine and a second left', startWithinMs: 1000, firstTokenMs: 20, canStart: false,
		},
		{
			name: 'a queue about as long as the time left', startWithinMs: 3000, firstTokenMs: 2500, canStart: false,
		},
		{
			name: 'a queue that may turn out three times as long', startWithinMs: 3000, firstTokenMs: 1100, canStart: false,
		},
	];
	for (const {name, startWithinMs, firstTokenMs, canStart} of cases) {
		it(`${canStart ? 'accepts' : 'rejects'} ${name}`, () => {
			expect(core.rollout.canStartInTime(startWithinMs, firstTokenMs)).to.equal(canStart);
		});
	}

	it('does not place a request where the queue outlasts the time in which the weights may be used', () => {
		const view = support.createView();
		view.loads.addRequest('a', 'r0', 60_000);
		const candidates = [support.createCandidate('a', {hasOldWeights: true, startWithinMs: 3000})];
		expect(core.fleet.chooseEndpoint(candidates, requirements, view, 1000)).to.equal(undefined);
		const idle = [support.createCandidate('b', {hasOldWeights: true, startWithinMs: 3000})];
		expect(core.fleet.chooseEndpoint(idle, requirements, view, 1000)?.candidate.entry.id).to.equal('b');
	});

	it('counts the time to the limit from the first newer version', () => {
		const targets = new core.rollout.WeightTargets();
		targets.observe('m', 1, support.readAt(0));
		expect(targets.startWithinMs('m', 1, 12_000, 5000)).to.equal(Infinity);
		targets.observe('m', 2, support.readAt(1000));
		targets.observe('m', 3, support.readAt(4000));
		expect(targets.startWithinMs('m', 1, 12_000, 5000)).to.equal(8000);
		expect(targets.startWithinMs('m', 2, 12_000, 5000)).to.equal(11_000);
		expect(targets.startWithinMs('m', 3, 12_000, 5000)).to.equal(Infinity);
	});

	it('takes a request back that has not started shortly before the limit', () => {
		expect(core.rollout.mustTakeBack(Infinity)).to.equal(false);
		expect(core.rollout.mustTakeBack(2000)).to.equal(false);
		expect(core.rollout.mustTakeBack(400)).to.equal(true);
		expect(core.rollout.mustTakeBack(-1)).to.equal(true);
	});
});

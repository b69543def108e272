import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const {WaitCause: causes} = core.fleet;

describe('LearnedWaitRules', () => {
	it('lets a request wait while it has as much time left as the state has lasted', () => {
		const rules = new core.fleet.LearnedWaitRules();
		expect(rules.mayWait({cause: causes.Silence, elapsedMs: 0, timeLeftMs: 2500})).to.equal(true);
		expect(rules.mayWait({cause: causes.Silence, elapsedMs: 1500, timeLeftMs: 6000})).to.equal(true);
		expect(rules.mayWait({cause: causes.Silence, elapsedMs: 4000, timeLeftMs: 4001})).to.equal(true);
		expect(rules.mayWait({cause: causes.Silence, elapsedMs: 4000, timeLeftMs: 3999})).to.equal(false);
	});

	it('lets no request wait that has no time left', () => {
		const rules = new core.fleet.LearnedWaitRules(0);
		expect(rules.mayWait({cause: causes.Silence, elapsedMs: 0, timeLeftMs: 0})).to.equal(false);
	});

	it('learns from each cause apart', () => {
		const rules = new core.fleet.LearnedWaitRules();
		for (let count = 0; count < 10; count++) {
			rules.recordDuration(causes.Departure, 60_000, true);
		}

		expect(rules.mayWait({cause: causes.Departure, elapsedMs: 0, timeLeftMs: 7500})).to.equal(false);
		expect(rules.mayWait({cause: causes.Silence, elapsedMs: 0, timeLeftMs: 7500})).to.equal(true);
		expect(rules.expectedMs(causes.Departure, 0)).to.be.greaterThan(10 * rules.expectedMs(causes.Silence, 0));
	});
});

import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const {WaitCause: causes} = core.fleet;

class RecordingRules extends core.fleet.LearnedWaitRules {
	readonly records: Array<readonly [core.fleet.WaitCause, number, boolean]> = [];

	override recordDuration(cause: core.fleet.WaitCause, durationMs: number, hasEnded: boolean): void {
		this.records.push([cause, durationMs, hasEnded]);
		super.recordDuration(cause, durationMs, hasEnded);
	}
}

describe('PoolGaps', () => {
	let rules: RecordingRules;
	let gaps: core.fleet.PoolGaps;

	beforeEach(() => {
		rules = new RecordingRules();
		gaps = new core.fleet.PoolGaps(rules, () => 0.5);
	});

	it('lets no request wait for a pool that never had an endpoint, and keeps nothing of it', () => {
		gaps.recordAbsence('a', causes.Departure, 0);
		expect(gaps.mayWait('a', 10_000, 0)).to.equal(false);
		expect(gaps.findGap('a', 0)).to.equal(undefined);
		expect(gaps.size).to.equal(0);
	});

	it('lets requests wait for a pool that has just lost its last endpoint, and not for one that is gone for long', () => {
		gaps.recordEndpoint('a', 0);
		gaps.recordAbsence('a', causes.Departure, 1000);
		expect(gaps.mayWait('a', 7500, 1000)).to.equal(true);
		expect(gaps.mayWait('a', 7500, 2500)).to.equal(true);
		expect(gaps.mayWait('a', 7500, 10_000)).to.equal(false);
	});

	it('lets requests wait for a pool that was added before it had an endpoint, and counts the time that a gap has lasted', () => {
		gaps.add('a', 1000);
		gaps.recordAbsence('a', causes.Silence, 1000, 700);
		expect(gaps.mayWait('a', 7500, 1000)).to.equal(true);
		gaps.recordEndpoint('a', 1100);
		expect(rules.records).to.deep.equal([[causes.Silence, 800, true]]);
	});

	it('learns the duration of a gap whose end was seen, and of another that it has lasted', () => {
		gaps.recordEndpoint('a', 0);
		gaps.recordAbsence('a', causes.Silence, 1000);
		gaps.recordAbsence('a', causes.Silence, 1900);
		gaps.recordEndpoint('a', 2000);
		gaps.recordAbsence('a', causes.Silence, 3000);
		gaps.recordAbsence('a', causes.Weights, 3500);
		gaps.recordEndpoint('a', 9000);
		expect(rules.records).to.deep.equal([[causes.Silence, 1000, true], [causes.Weights, 500, false]]);
	});

	it('spreads the return of those that wait, and lets new requests queue behind them', () => {
		gaps.recordEndpoint('a', 0);
		gaps.recordAbsence('a', causes.Silence, 1000);
		const ends = [gaps.countWaiting('a', 1000), gaps.countWaiting('a', 1000)];
		gaps.recordAbsence('a', causes.Silence, 1990);
		gaps.recordEndpoint('a', 2000);
		expect(gaps.returnedAt('a')).to.equal(2000);
		expect([gaps.isReturning('a', 2000), gaps.isHeldBack('a', 2000)]).to.deep.equal([true, true]);
		expect(gaps.isHeldBack('a', 2051)).to.equal(false);
		gaps.recordSent('a', 400, 2051);
		expect(gaps.isHeldBack('a', 2051)).to.equal(true);
		for (const end of ends) {
			end();
		}

		expect(gaps.isReturning('a', 2052)).to.equal(false);
	});

	it('forgets pools that were not searched for long, except those that requests wait for', () => {
		gaps.recordEndpoint('a', 0);
		gaps.recordEndpoint('b', 0);
		gaps.countWaiting('b', 0);
		gaps.recordEndpoint('c', 700_000);
		expect(['a', 'b', 'c'].map(pool => gaps.has(pool))).to.deep.equal([false, true, true]);
	});

	it('holds nothing back if no request waits', () => {
		gaps.recordEndpoint('a', 0);
		gaps.recordAbsence('a', causes.Silence, 1000);
		gaps.recordEndpoint('a', 1500);
		expect(gaps.isReturning('a', 1500)).to.equal(false);
	});
});

import * as chai from 'chai';
import * as simulation from '../support/fleet-with-wrong-clocks.js';

const {expect} = chai;
const runs = 50;

/** Two versions, named while clocks jump and VMs restart or are cut off from the store. */
function runRandom(vmCount: number, seed: number, areAgesSent = true): simulation.FleetOutcome {
	return new simulation.FleetWithWrongClocks({
		vmCount, seed, areAgesSent, durationMs: 14_000, namedAt: [3000, 3000 + (200 * (seed % 20))], maxJumpMs: 5000, troubleShare: 0.15,
	}).run();
}

// Guards against VMs whose estimate of a version's age depends on wall clocks: they send requests to replaced weights after the bound.
describe('wrong clocks during a roll-out', () => {
	for (const vmCount of [6, 66]) {
		it(`never make a version younger than it is on one of ${vmCount} VMs, nor older than its own reads allow`, () => {
			for (let seed = 1; seed <= (vmCount === 6 ? runs : 5); seed++) {
				const {younger, olderThanInterval, lateStarts} = runRandom(vmCount, seed);
				expect({
					seed, younger, olderThanInterval, lateStarts,
				}).to.deep.equal({
					seed, younger: 0, olderThanInterval: 0, lateStarts: 0,
				});
			}
		}).timeout(20_000);
	}

	it('make it younger if the VMs do not send each other ages', () => {
		const outcomes = Array.from({length: runs}, (_, seed) => runRandom(6, seed + 1, false));
		expect(outcomes.filter(({younger}) => younger > 0).length).to.be.above(0);
	}).timeout(20_000);

	for (const leaderErrorMs of [-3_600_000, -2400, 0, 2400, 3_600_000]) {
		// No VM is left that knows the age; the VMs assume that it is half of the bound, which is older than it is.
		it(`leave VMs that all restart at once neither without engines nor with outdated ones, with an error of ${leaderErrorMs} ms`, () => {
			for (const vmCount of [6, 66, 195]) {
				const {lateStarts, longestGapMs, samples} = new simulation.FleetWithWrongClocks({
					vmCount, seed: 1, durationMs: 12_000, namedAt: [3000], restart: {at: 4000, downMs: 1000, leaderErrorMs},
				}).run();
				expect(samples).to.be.above(0);
				expect(lateStarts).to.equal(0);
				expect(longestGapMs).to.be.at.most(simulation.loadMs);
			}
		}).timeout(20_000);
	}

	// Guards against callers that are refused, or sent to fewer engines, because of a clock that is ahead.
	it('leave as many engines to VMs that all restart at once as right clocks, if the clock of the leader is ahead', () => {
		for (const [at, downMs] of [[3500, 500], [4000, 1000], [4000, 2500], [4000, 4500]] as const) {
			const [right, ahead] = [0, 2400].map(leaderErrorMs => {
				const {lateStarts, usableShares, withoutEngine} = new simulation.FleetWithWrongClocks({
					vmCount: 6, seed: 1, durationMs: 12_000, namedAt: [3000], restart: {at, downMs, leaderErrorMs},
				}).run();
				return {lateStarts, usableShares, withoutEngine};
			});
			expect(ahead).to.deep.equal(right);
			expect(right).to.deep.include({lateStarts: 0, withoutEngine: 0});
		}
	}).timeout(20_000);

	// Guards against an assumed age that is too small: neither a VM nor the plan shows for how long all VMs were down.
	for (const leaderErrorMs of [-2400, 0, 2400, 3_600_000]) {
		it(`leave no outdated engines to VMs that all restart long after a version was named, with an error of ${leaderErrorMs} ms`, () => {
			for (const [seed, downMs] of [[1, 2500], [2, 3500], [3, 4500], [4, 6500]] as const) {
				const {lateStarts} = new simulation.FleetWithWrongClocks({
					vmCount: 6, seed, durationMs: 14_000, namedAt: [3000], restart: {at: 4000, downMs, leaderErrorMs},
				}).run();
				expect(lateStarts).to.equal(0);
			}
		}).timeout(20_000);
	}
});

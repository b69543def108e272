import * as chai from 'chai';
import * as runCrashScenario from '../support/run-crash-scenario.js';

const {expect} = chai;
/** Users' rule: so many requests may be sent after the settle window that follows the fifth end. */
const maxSentAfter = 3;
/** Users' rule LOST: sound requests begin less than half as often as else. */
const maxSoundRefusedShare = 0.5;

// Guards against a prompt part that ends one endpoint after the other because the VMs don't connect what they see (incident BUDGET).
describe('load with a prompt part that ends endpoints', () => {
	const fleets = [{vmCount: 7, endpointCount: 12}, {vmCount: 66, endpointCount: 80}, {vmCount: 195, endpointCount: 360}];
	for (const fleet of fleets) {
		for (const crashingPerSecond of [1, 10, 100]) {
			// At the highest rate all endpoints end at once anyway.
			for (const killedShare of crashingPerSecond === 100 ? [0] : [0, 0.1]) {
				const beside = killedShare > 0 ? ' beside ends of a tenth of the endpoints' : '';
				it(`is contained by ${fleet.vmCount} VMs at ${crashingPerSecond} requests a second${beside}`, async () => {
					const {sentAfter, sound, soundRefusals, countedFrom, refusingVms, wrongParts} = await runCrashScenario.runCrashScenario({...fleet, crashingPerSecond, killedShare});
					expect(sentAfter).to.be.at.most(maxSentAfter);
					expect(soundRefusals.filter(at => at > countedFrom + runCrashScenario.settleWindowMs)).to.deep.equal([]);
					expect(soundRefusals.length).to.be.below(sound * maxSoundRefusedShare);
					expect(refusingVms).to.equal(fleet.vmCount);
					expect(wrongParts).to.deep.equal([]);
				}).timeout(60_000);
			}
		}
	}

	// Guards against ends that are dated by when a VM learned of them, so that two groups of killed endpoints look like many ends.
	for (const fleet of fleets.slice(0, 2)) {
		it(`refuses no sound request when ${fleet.vmCount} VMs lose two groups of endpoints`, async () => {
			const {soundRefusals, wrongParts} = await runCrashScenario.runCrashScenario({
				...fleet, crashingPerSecond: 0, killedShare: 0.4, killedAgainAfterMs: 200,
			});
			expect(soundRefusals).to.deep.equal([]);
			expect(wrongParts).to.deep.equal([]);
		}).timeout(60_000);
	}

	it('is not contained without the quarantine', async () => {
		const {sentAfter} = await runCrashScenario.runCrashScenario({isQuarantined: false});
		expect(sentAfter).to.be.greaterThan(maxSentAfter);
	});
});

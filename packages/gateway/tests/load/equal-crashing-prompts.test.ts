import * as chai from 'chai';
import * as runCrashScenario from '../support/run-crash-scenario.js';

const {expect} = chai;
/** Users' rule: so many requests may be sent after the settle window that follows the fifth end. */
const maxSentAfter = 3;

// Guards against a prompt part that ends endpoints without end, as the prompts of all requests with it are equal (days of deadly prompts, issue 51).
describe('load with equal prompts that end endpoints', () => {
	for (const fleet of [{vmCount: 7, endpointCount: 12}, {vmCount: 66, endpointCount: 80}, {vmCount: 195, endpointCount: 360}]) {
		for (const crashingPerSecond of [1, 10]) {
			for (const killedShare of [0, 0.1]) {
				const beside = killedShare > 0 ? ' beside ends of a tenth of the endpoints' : '';
				it(`is contained by ${fleet.vmCount} VMs at ${crashingPerSecond} requests a second${beside}`, async () => {
					const {sentAfter, refusingVms, wrongParts} = await runCrashScenario.runCrashScenario({
						...fleet, crashingPerSecond, killedShare, areCrashingEqual: true,
					});
					expect(sentAfter).to.be.at.most(maxSentAfter);
					expect(refusingVms).to.equal(fleet.vmCount);
					expect(wrongParts).to.deep.equal([]);
				}).timeout(60_000);
			}
		}
	}
});

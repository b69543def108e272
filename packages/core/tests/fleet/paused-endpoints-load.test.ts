import * as chai from 'chai';
import * as support from '../support/paused-fleet.js';

const {expect} = chai;
const {PauseHandling: pauseHandlings} = support;
/** Requests that an endpoint may get from a VM in a pause, later than half a second after it has asked for it. */
const allowedLateArrivals = 2;
/** Requests of a VM that may be on the way to an endpoint when it asks for the pause, and the one that it answers. */
const maxArrivalsPerVm = 2;
/** Time until an endpoint has all its requests again: the place of a VM in the spread, and the ramp-up itself, in milliseconds. */
const maxRampUpMs = 4000;

const cases = [1, 10, 20].flatMap(paused => [500, 5000, 60_000].flatMap(pauseMs => [7, 195].map(vms => ({
	paused, pauseMs, vms, seed: 1,
}))));

function run(scenario: typeof cases[number], handling: support.PauseHandling): support.PausedFleetResult {
	return new support.PausedFleet({...scenario, handling}).run();
}

describe('a fleet before 20 endpoints of which some ask for a pause', () => {
	for (const scenario of cases) {
		const {paused, pauseMs, vms} = scenario;
		it(`of ${vms} VMs keeps to pauses of ${pauseMs} ms that ${paused} ask for`, () => {
			const result = run(scenario, pauseHandlings.Shared);
			expect(result.maxLateArrivals).to.be.at.most(allowedLateArrivals);
			expect(result.arrivalsInPause).to.be.at.most(vms * paused * maxArrivalsPerVm);
			expect(result.recoveryMs).to.be.at.most(maxRampUpMs);
			expect(result.keptPauses).to.equal(0);
		}).timeout(60_000);
	}

	// The test of the simulation itself: without the mechanism, the rule is broken.
	it('sends more requests than allowed in a pause if it treats one as any other refusal', () => {
		const result = run({
			paused: 10, pauseMs: 5000, vms: 7, seed: 1,
		}, pauseHandlings.None);
		expect(result.maxLateArrivals).to.be.greaterThan(allowedLateArrivals);
	});

	it('refuses callers less often than without the mechanism while other endpoints can serve them', () => {
		const scenario = {
			paused: 10, pauseMs: 5000, vms: 195, seed: 1,
		};
		expect(run(scenario, pauseHandlings.Shared).refusals).to.be.lessThan(run(scenario, pauseHandlings.None).refusals);
	});

	it('refuses callers less often if VMs tell each other of pauses', () => {
		const scenario = {
			paused: 10, pauseMs: 5000, vms: 195, seed: 1,
		};
		const [own, shared] = [pauseHandlings.Own, pauseHandlings.Shared].map(handling => run(scenario, handling));
		expect(shared!.arrivalsInPause).to.be.lessThan(own!.arrivalsInPause);
		expect(shared!.refusals).to.be.lessThan(own!.refusals);
	});

	for (const vms of [7, 195]) {
		it(`of ${vms} VMs overfills the endpoints less if requests ramp up after a pause of all of them`, () => {
			const scenario = {
				paused: 20, pauseMs: 5000, vms, seed: 1,
			};
			const [abrupt, gradual] = [pauseHandlings.Abrupt, pauseHandlings.Shared].map(handling => run(scenario, handling));
			expect(gradual!.overflows).to.be.lessThan(abrupt!.overflows);
			expect(gradual!.lostCallers).to.be.lessThan(abrupt!.lostCallers);
		});
	}
});

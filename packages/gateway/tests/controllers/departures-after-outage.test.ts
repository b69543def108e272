import * as chai from 'chai';
import * as core from '@bluebellmast/core';
import * as simulated from '../support/simulated-departures.js';

const {expect} = chai;
/** Time after its departure within which an endpoint may still get requests, as the platform states it. */
const drainMs = 2000;
/** Time after the return of the store within which live endpoints have written expired entries again, as the platform states it. */
const returnMs = 2000;
const endpointCount = 15;

// Guards against incident DRAIN: endpoints that leave a few seconds after an outage of the store were kept like endpoints whose entries had expired in it, for longer
// than they may get requests.
describe('endpoints that leave after an outage of the store', () => {
	const outage = {from: 25_500, to: 34_000, isSilent: true};

	/** Lists endpoints, all of whose entries expire in the outage and are written again within two seconds of its end. */
	function listExpiringEndpoints(): simulated.EntryChange[] {
		return Array.from({length: endpointCount}, (_, index) => `e-${index}`).flatMap((id, index) => [
			{at: index, id, isListed: true},
			{at: outage.from + 2000 + (index * 80), id, isListed: false},
			{at: outage.to + 60 + (index * 130), id, isListed: true},
		]);
	}

	for (const leavesAt of [36_100, 36_500, 37_000, 37_304, 37_900, 38_500]) {
		it(`get no requests later than two seconds after they have left, ${(leavesAt - outage.to) / 1000} s after the return`, async () => {
			const fleet = await new simulated.SimulatedDepartures({
				changes: [...listExpiringEndpoints(), {at: leavesAt, id: 'e-3', isListed: false}], failedCalls: [outage], untilMs: 42_000,
			}).run();
			expect(fleet.sendsTo('e-3').some(at => at > outage.to)).to.equal(true);
			expect(fleet.lastSendTo('e-3') - leavesAt).to.be.below(drainMs);
		});
	}

	it('do not include those whose entries return within two seconds, which get requests all the while', async () => {
		const fleet = await new simulated.SimulatedDepartures({changes: listExpiringEndpoints(), failedCalls: [outage], untilMs: 42_000}).run();
		for (const index of Array.from({length: endpointCount}).keys()) {
			expect(fleet.longestPauseOf(`e-${index}`, 1000, 42_000)).to.be.below(50);
		}
	});

	it('and do not return in the outage get none later than two seconds after its end was known', async () => {
		const changes = listExpiringEndpoints().filter(({id, at}) => id !== 'e-3' || at < outage.to);
		const fleet = await new simulated.SimulatedDepartures({changes, failedCalls: [outage], untilMs: 42_000}).run();
		const regainedAt = fleet.lines.find(({event, at}) => event === core.log.LogEvent.StoreRegained && at > outage.to)!.at;
		expect(fleet.lastSendTo('e-3')).to.be.within(outage.to, regainedAt + returnMs);
	});
});

import * as core from '@bluebellmast/core';
import * as chai from 'chai';
import * as clocks from '../support/manual-clock.js';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const pool: core.routing.Pool = {name: 'app', healthPath: '/health', connectionLimit: 10};
const request = {table: {findPool: () => pool}, head: {}, route: {priority: 0, targetLatencyMs: 100}} as unknown as gateway.call.RoutedRequest;

function createEntry(id: string): core.fleet.EndpointEntry {
	return {
		id, bornAt: 1, pool: 'app', address: '127.0.0.1:9', dataCentre: 'dc-a', slots: 8, state: core.fleet.EndpointState.Ready, weights: new Map(),
	};
}

describe('placement with endpoints that asked for a pause', () => {
	let clock: clocks.ManualClock;
	let fleet: gateway.placement.FleetState;
	let pauses: gateway.placement.EndpointPauses;
	let placer: gateway.placement.EndpointPlacer;

	beforeEach(() => {
		clock = new clocks.ManualClock();
		fleet = new gateway.placement.FleetState();
		pauses = new gateway.placement.EndpointPauses({clock, log: {write: () => undefined}, random: () => 0});
		placer = new gateway.placement.EndpointPlacer(fleet, pauses, {
			dataCentre: 'dc-a', maxOutdatedWeightsMs: 1000, costs: core.fleet.defaultPlacementCosts, admission: core.fleet.defaultAdmissionLimits,
		});
		for (const id of ['a', 'b']) {
			fleet.registry.put(createEntry(id), 0);
		}
	});

	function place(): gateway.placement.Placement | undefined {
		return placer.place(request, 'app', new Set(), gateway.util.readInstant(clock));
	}

	it('chooses another endpoint, also when it has more load', () => {
		pauses.record(createEntry('a'), 1000);
		for (let number = 0; number < 100; number++) {
			fleet.loads.addRequest('b', `r-${number}`, 0);
		}

		expect(place()?.entry.id).to.equal('b');
	});

	it('chooses none while all are paused, and tells which is back first', () => {
		pauses.record(createEntry('a'), 3000);
		pauses.record(createEntry('b'), 1000);
		clock.now = 400;
		expect(place()).to.equal(undefined);
		expect(placer.findFirstRampUp(request, 'app', gateway.util.readInstant(clock))).to.deep.equal({resumesInMs: 600, rampUpMs: 1000});
		expect(placer.describePool(request, 'app', gateway.util.readInstant(clock))).to.include({ready: 2, responsive: 2, paused: 2});
	});

	it('lets requests wait when all endpoints have as many in flight as they may have after their pauses', () => {
		fleet.vmCount = 8;
		for (const id of ['a', 'b']) {
			pauses.record(createEntry(id), 1000);
		}

		clock.now = 1000;
		for (const id of ['a', 'b']) {
			expect(place()?.hasCapacity).to.equal(true);
			pauses.recordSent(createEntry(id), `r-${id}`);
		}

		expect(place()?.hasCapacity).to.equal(false);
		clock.now = 2000;
		expect(place()?.hasCapacity).to.equal(true);
	});

	it('prefers other endpoints to one that asked another VM for a pause, until its end', () => {
		fleet.loads.addRequest('b', 'r-1', 0);
		expect(place()?.entry.id).to.equal('a');
		pauses.applyDigest([{endpoint: 'a', bornAt: 1, remainingMs: 1000}]);
		expect(place()?.entry.id).to.equal('b');
		clock.now = 1000;
		expect(place()?.entry.id).to.equal('a');
	});

	it('is told to the other VMs in digests that carry all pauses in turn', () => {
		for (let number = 0; number < 10; number++) {
			pauses.record(createEntry(`e-${number}`), 60_000);
		}

		const told = [1, 2, 3].flatMap(() => pauses.takeDigest());
		expect(told).to.have.lengthOf(12);
		expect(new Set(told.map(({endpoint}) => endpoint)).size).to.equal(10);
		clock.now = 60_000;
		expect(pauses.takeDigest()).to.deep.equal([]);
	});
});

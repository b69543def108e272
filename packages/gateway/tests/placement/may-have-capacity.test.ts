import * as chai from 'chai';
import * as core from '@bluebellmast/core';
import * as manualClock from '../support/manual-clock.js';
import * as entries from '../support/weekly-entries.js';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const {config, endpoints} = entries.describeHour(0);
const [model] = config.pools[0]!.engine!.models;
const table = new core.routing.RouteTable(config);
const promptSizes = [100, 1000, 4000, 20_000];
const now = {monotonic: 1000, suspendAware: 1000};

/** Places a prompt of each size in a fleet whose engines have random backlogs. */
function place(seed: number): {readonly mayHaveCapacity: boolean; readonly isPlaced: boolean} {
	const random = new core.util.SeededRandom(seed);
	const fleet = new gateway.placement.FleetState();
	const pauses = new gateway.placement.EndpointPauses({clock: new manualClock.ManualClock(), log: {write: () => undefined}, random: () => 0});
	const placer = new gateway.placement.EndpointPlacer(fleet, pauses, {
		dataCentre: 'a', maxOutdatedWeightsMs: 8000, costs: core.fleet.defaultPlacementCosts, admission: core.fleet.defaultAdmissionLimits,
	});
	for (const endpoint of endpoints.filter(({pool}) => pool === entries.enginePool).slice(0, 1 + random.int(4))) {
		fleet.registry.put({...endpoint, weights: new Map([[model!, 1]])}, 0);
		fleet.loads.addRequest(endpoint.id, `attempt-${endpoint.id}`, random.int(60_000));
		fleet.parts.applyObservation({type: core.fleet.CacheObservationType.Sent, key: `${model}@1/part`, endpoint: endpoint.id}, 900);
	}

	const calls = promptSizes.map(tokens => ({
		table, route: config.routes[0], head: {
			prompt: {
				model, promptTokens: tokens * 2, maxOutputTokens: 10, parts: [{id: 'part', tokens}, {id: `own-${tokens}`, tokens}],
			},
		},
	} as unknown as gateway.call.RoutedRequest));
	return {
		mayHaveCapacity: placer.mayHaveCapacity(calls[0]!, entries.enginePool, new Set(), now),
		isPlaced: calls.some(call => placer.place(call, entries.enginePool, new Set(), now)?.hasCapacity),
	};
}

// Guards against requests that are not sent to another endpoint because a search for another prompt found none.
describe('the decision that no prompt finds an engine with capacity', () => {
	it('is never made while one does, and is made at times', () => {
		const results = Array.from({length: 300}, (_, seed) => place(seed));
		expect(results.filter(({mayHaveCapacity, isPlaced}) => isPlaced && !mayHaveCapacity)).to.deep.equal([]);
		expect(results.filter(({mayHaveCapacity}) => !mayHaveCapacity).length).to.be.within(1, 299);
		expect(results.filter(({isPlaced}) => isPlaced).length).to.be.within(1, 299);
	});
});

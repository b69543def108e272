import * as chai from 'chai';
import * as support from '../support/fleet.js';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const endpoint: core.fleet.EndpointIncarnation = {id: 'a', bornAt: 1};

function createPaused(remainingMs: number): core.fleet.PeerPauses {
	const pauses = new core.fleet.PeerPauses();
	pauses.apply([{endpoint: 'a', bornAt: 1, remainingMs}], 0);
	return pauses;
}

describe('pauses that endpoints asked other VMs for', () => {
	for (const {remainingMs, endsAt} of [{remainingMs: 500, endsAt: 500}, {remainingMs: 60_000, endsAt: 30_000}]) {
		it(`are considered for ${endsAt} ms after a digest that states ${remainingMs} ms`, () => {
			const pauses = createPaused(remainingMs);
			expect(pauses.isPaused(endpoint, endsAt - 1)).to.equal(true);
			expect(pauses.isPaused(endpoint, endsAt)).to.equal(false);
		});
	}

	it('do not concern another incarnation', () => {
		expect(createPaused(500).isPaused({id: 'a', bornAt: 2}, 0)).to.equal(false);
	});

	it('are removed when they end, and are bounded in number', () => {
		const pauses = new core.fleet.PeerPauses({maxLifetimeMs: 1000, maxPauses: 3});
		for (let number = 0; number < 10; number++) {
			pauses.apply([{endpoint: `e-${number}`, bornAt: 1, remainingMs: 500}], number);
		}

		expect(pauses.size).to.equal(3);
		expect(pauses.isPaused({id: 'e-9', bornAt: 1}, 10)).to.equal(true);
		pauses.removeEnded(509);
		expect(pauses.size).to.equal(0);
	});

	const requirements: core.fleet.PlacementRequirements = {dataCentre: 'dc-a', parts: [], sharedParts: 0};

	function choose(active: number): string {
		const view = support.createView();
		for (let number = 0; number < active; number++) {
			view.loads.addRequest('b', `r-${number}`, 0);
		}

		const candidates = [support.createCandidate('a', {isPausedForPeers: true}), support.createCandidate('b')];
		return core.fleet.chooseEndpoint(candidates, requirements, view, 0)!.candidate.entry.id;
	}

	it('make placement prefer other endpoints', () => {
		expect(choose(64)).to.equal('b');
	});

	it('do not keep placement from an endpoint when the queue of the others is long', () => {
		expect(choose(160)).to.equal('a');
	});
});

import * as chai from 'chai';
import * as support from '../support/fleet.js';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const longRequest: core.fleet.PlacementRequirements = {
	dataCentre: 'dc-a',
	parts: [{id: 'book', tokens: 13_300}, {id: 'own', tokens: 3700}],
	sharedParts: 1,
};
const shortRequest: core.fleet.PlacementRequirements = {
	dataCentre: 'dc-a', parts: [{id: 'site', tokens: 55}, {id: 'question', tokens: 300}], sharedParts: 1,
};

describe('chooseEndpoint', () => {
	function choose(
		requirements: core.fleet.PlacementRequirements,
		view: core.fleet.PlacementView,
		candidates = ['a', 'b', 'c'].map(id => support.createCandidate(id)),
	): core.fleet.EndpointChoice {
		return core.fleet.chooseEndpoint(candidates, requirements, view, 1000)!;
	}

	it('returns nothing without candidates', () => {
		expect(core.fleet.chooseEndpoint([], shortRequest, support.createView(), 0)).to.equal(undefined);
	});

	it('chooses the endpoint that has a large part cached in its own cache namespace', () => {
		const view = support.createView();
		view.parts.applyObservation({type: core.fleet.CacheObservationType.Sent, key: 'n/book', endpoint: 'b'}, 900);
		const choice = choose(longRequest, view);
		expect(choice.candidate.entry.id).to.equal('b');
		expect(choice.prefillTokens).to.equal(3700);
		const others = ['a', 'b', 'c'].map(id => support.createCandidate(id, {cacheNamespace: 'newer'}));
		expect(choose(longRequest, view, others).prefillTokens).to.equal(17_000);
	});

	it('counts a part in the cache store as fetched instead of computed', () => {
		const view = support.createView();
		view.parts.applyObservation({type: core.fleet.CacheObservationType.Computed, key: 'n/book', endpoint: 'removed'}, 900);
		expect(choose(longRequest, view).prefillTokens).to.equal(3700);
	});

	it('chooses the same endpoint on all VMs for a part that no endpoint has cached', () => {
		const homes = [support.createView(), support.createView()].map(view => choose(longRequest, view).candidate.entry.id);
		expect(homes[0]).to.equal(homes[1]);
	});

	it('chooses an idle endpoint when the first one in rendezvous order is busy', () => {
		const view = support.createView();
		const home = choose(longRequest, view).candidate.entry.id;
		view.loads.addRequest(home, 'r1', 17_000);
		expect(choose(longRequest, view).candidate.entry.id).not.to.equal(home);
	});

	it('prefers the newest weights and the VM\'s own data centre among otherwise equal endpoints', () => {
		const candidates = [
			support.createCandidate('a', {hasOldWeights: true}),
			support.createCandidate('b', {entry: support.createEntry('b', {dataCentre: 'dc-b'})}),
			support.createCandidate('c'),
		];
		expect(choose({...shortRequest, sharedParts: 0}, support.createView(), candidates).candidate.entry.id).to.equal('c');
	});

	it('avoids an endpoint with a high failure rate', () => {
		const view = support.createView();
		const first = choose(shortRequest, view).candidate.entry.id;
		for (let count = 0; count < 5; count++) {
			view.health.recordOutcome(first, true);
		}

		expect(choose(shortRequest, view).candidate.entry.id).not.to.equal(first);
	});
});

import * as chai from 'chai';
import * as support from '../support/fleet.js';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const handbook: core.fleet.PlacementRequirements = {
	dataCentre: 'dc-a',
	parts: [{id: 'book', tokens: 13_300}, {id: 'own', tokens: 3700}],
	sharedParts: 1,
};
const hint: core.fleet.PlacementRequirements = {
	dataCentre: 'dc-a', parts: [{id: 'site', tokens: 55}, {id: 'question', tokens: 300}], sharedParts: 1,
};

describe('chooseEndpoint', () => {
	function choose(
		need: core.fleet.PlacementRequirements,
		view: core.fleet.PlacementView,
		candidates = ['a', 'b', 'c'].map(id => support.createCandidate(id)),
	): core.fleet.EndpointChoice {
		return core.fleet.chooseEndpoint(candidates, need, view, 1000)!;
	}

	it('returns nothing without candidates', () => {
		expect(core.fleet.chooseEndpoint([], hint, support.createView(), 0)).to.equal(undefined);
	});

	it('goes where a large part is cached, in the namespace of the engine', () => {
		const view = support.createView();
		view.parts.applyObservation({type: core.fleet.CacheObservationType.Sent, key: 'n/book', endpoint: 'b'}, 900);
		const choice = choose(handbook, view);
		expect(choice.candidate.entry.id).to.equal('b');
		expect(choice.prefillTokens).to.equal(3700);
		const others = ['a', 'b', 'c'].map(id => support.createCandidate(id, {cacheNamespace: 'newer'}));
		expect(choose(handbook, view, others).prefillTokens).to.equal(17_000);
	});

	it('counts a part that the cache store has as fetched, not computed', () => {
		const view = support.createView();
		view.parts.applyObservation({type: core.fleet.CacheObservationType.Computed, key: 'n/book', endpoint: 'gone'}, 900);
		expect(choose(handbook, view).prefillTokens).to.equal(3700);
	});

	it('sends all VMs to the same home for a part that none has', () => {
		const homes = [support.createView(), support.createView()].map(view => choose(handbook, view).candidate.entry.id);
		expect(homes[0]).to.equal(homes[1]);
	});

	it('leaves the home for a free engine when the home is busy', () => {
		const view = support.createView();
		const home = choose(handbook, view).candidate.entry.id;
		view.loads.addRequest(home, 'r1', 17_000);
		expect(choose(handbook, view).candidate.entry.id).not.to.equal(home);
	});

	it('prefers newest weights and its own data centre among equals', () => {
		const candidates = [
			support.createCandidate('a', {hasOldWeights: true}),
			support.createCandidate('b', {entry: support.createEntry('b', {dataCentre: 'dc-b'})}),
			support.createCandidate('c'),
		];
		expect(choose({...hint, sharedParts: 0}, support.createView(), candidates).candidate.entry.id).to.equal('c');
	});

	it('avoids an endpoint that fails', () => {
		const view = support.createView();
		const first = choose(hint, view).candidate.entry.id;
		for (let count = 0; count < 5; count++) {
			view.health.noteOutcome(first, true);
		}

		expect(choose(hint, view).candidate.entry.id).not.to.equal(first);
	});
});

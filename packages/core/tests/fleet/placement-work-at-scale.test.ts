import * as chai from 'chai';
import * as support from '../support/fleet.js';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const requirements: core.fleet.PlacementRequirements = {
	dataCentre: 'dc-a',
	parts: [{id: 'handbook', tokens: 9000}, {id: 'site', tokens: 3000}, {id: 'question', tokens: 400}],
	sharedParts: 2,
};

/** Counts the questions about the cache store. */
class CountedPartLocations extends core.fleet.PartLocations {
	storeQuestions = 0;

	override storedAgeMs(key: string, now: number): number {
		this.storeQuestions += 1;
		return super.storedAgeMs(key, now);
	}
}

// In a backlog each VM places waiting requests hundreds of times a second among all engines of a pool.
describe('work of a placement in large pools', () => {
	for (const engines of [13, 65, 465]) {
		it(`asks about the cache store once for each prefix among ${engines} engines`, () => {
			const parts = new CountedPartLocations();
			const candidates = Array.from({length: engines}, (_, index) => support.createCandidate(`engine-${index}`));
			const choice = core.fleet.chooseEndpoint(candidates, requirements, {...support.createView(), parts}, 1000);
			expect(choice?.prefillTokens).to.equal(12_400);
			expect(parts.storeQuestions).to.equal(2);
		});
	}

	it('lists the ready endpoints of a pool anew only after a change', () => {
		const registry = new core.fleet.EndpointRegistry();
		registry.put(support.createEntry('a'), 0);
		const before = registry.listReady('llm', 30);
		expect(registry.listReady('llm', 30)).to.equal(before);
		// An equal entry, as heartbeats cause.
		registry.put(support.createEntry('a'), 5);
		expect(registry.listReady('llm', 30)).to.equal(before);
		registry.put(support.createEntry('b'), 10);
		expect(registry.listReady('llm', 30).map(entry => entry.id)).to.deep.equal(['a', 'b']);
		registry.remove('a', undefined, 20);
		expect(registry.listReady('llm', 30).map(entry => entry.id)).to.deep.equal(['b']);
		registry.put(support.createEntry('b', {state: core.fleet.EndpointState.Draining}), 30);
		expect(registry.listReady('llm', 30)).to.deep.equal([]);
	});
});

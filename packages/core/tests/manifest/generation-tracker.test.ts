import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const {manifest} = core;
const eventType = manifest.TrackerEventType;

function createHead(generation: number, hash = 'a', changeId = `change-${generation}`): core.manifest.ManifestHead {
	return {
		generation, changeId, madeFrom: generation - 1, sections: [{name: 'models/0', hash}], recalled: [], recentChanges: [],
	};
}

/** Shows a head to the tracker. */
function see(state: core.manifest.TrackerState, head: core.manifest.ManifestHead, held: readonly string[] = [], now = 0) {
	return manifest.stepTracker(state, {
		type: eventType.HeadSeen, head, source: undefined, held: new Set(held),
	}, now);
}

describe('stepTracker', () => {
	it('fetches what is missing and adopts when it has come', () => {
		const seen = see(manifest.initialTrackerState, createHead(1));
		expect(seen.effects).to.deep.equal([{type: 'fetch_sections', hashes: ['a'], source: undefined}]);
		const arrived = manifest.stepTracker(seen.state, {type: eventType.SectionsArrived, held: new Set(['a'])}, 1);
		expect(arrived.effects.map(effect => effect.type)).to.deep.equal(['adopt']);
		expect(arrived.state.inForce?.generation).to.equal(1);
	});

	it('holds back what a head recalls before its sections have come', () => {
		const {state} = see(manifest.initialTrackerState, createHead(1), ['a']);
		const {effects} = see(state, {...createHead(3, 'b'), recalled: ['model:chat@2']}, ['a']);
		expect(effects[0]).to.deep.equal({type: 'hold_back', batches: ['model:chat@2']});
	});

	it('adopts at once when all sections are held', () => {
		expect(see(see(manifest.initialTrackerState, createHead(1), ['a']).state, createHead(5), ['a']).state.inForce?.generation).to.equal(5);
	});

	it('ignores older heads, also while a newer one is pending', () => {
		const pending = see(manifest.initialTrackerState, createHead(7)).state;
		expect(see(pending, createHead(6, 'b'), ['b'])).to.deep.equal({state: pending, effects: []});
		expect(see(pending, createHead(7), ['a']).effects).to.deep.equal([]);
	});

	it('keeps the time since when a newer generation is known, until none is', () => {
		const known = manifest.stepTracker(manifest.initialTrackerState, {type: eventType.GenerationKnown, generation: 7}, 10).state;
		const pending = see(see(known, createHead(6), [], 20).state, createHead(8), [], 30).state;
		expect(pending.newer).to.deep.equal({generation: 8, since: 10});
		expect(pending.pending?.head.generation).to.equal(8);
		const further = manifest.stepTracker(pending, {type: eventType.GenerationKnown, generation: 9}, 40).state;
		const adopted = manifest.stepTracker(further, {type: eventType.SectionsArrived, held: new Set(['a'])}, 50).state;
		expect(adopted.newer).to.deep.equal({generation: 9, since: 10});
		expect(see(adopted, createHead(9), ['a'], 60).state.newer).to.equal(undefined);
	});

	it('asserts that a generation is one change', () => {
		const {state} = see(manifest.initialTrackerState, createHead(1), ['a']);
		expect(() => see(state, createHead(1, 'a', 'other'), ['a'])).to.throw(core.util.InvariantError, 'manifest.one-change-per-generation');
	});
});

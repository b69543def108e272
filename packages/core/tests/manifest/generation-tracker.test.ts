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

/** Passes a `HeadSeen` event to the tracker. */
function stepHeadSeen(state: core.manifest.TrackerState, head: core.manifest.ManifestHead, held: readonly string[] = [], now = 0) {
	return manifest.stepTracker(state, {
		type: eventType.HeadSeen, head, source: undefined, held: new Set(held),
	}, now);
}

describe('stepTracker', () => {
	it('fetches missing sections and adopts the head once they arrive', () => {
		const seen = stepHeadSeen(manifest.initialTrackerState, createHead(1));
		expect(seen.effects).to.deep.equal([{type: 'fetch_sections', hashes: ['a'], source: undefined}]);
		const arrived = manifest.stepTracker(seen.state, {type: eventType.SectionsArrived, held: new Set(['a'])}, 1);
		expect(arrived.effects.map(effect => effect.type)).to.deep.equal(['adopt']);
		expect(arrived.state.active?.generation).to.equal(1);
	});

	it('blocks newly recalled batches before the sections of the head arrive', () => {
		const {state} = stepHeadSeen(manifest.initialTrackerState, createHead(1), ['a']);
		const {effects} = stepHeadSeen(state, {...createHead(3, 'b'), recalled: ['model:chat@2']}, ['a']);
		expect(effects[0]).to.deep.equal({type: 'hold_back', batches: ['model:chat@2']});
	});

	it('adopts a head at once when all its sections are stored', () => {
		expect(stepHeadSeen(stepHeadSeen(manifest.initialTrackerState, createHead(1), ['a']).state, createHead(5), ['a']).state.active?.generation).to.equal(5);
	});

	it('ignores heads that are not newer than the pending one', () => {
		const pending = stepHeadSeen(manifest.initialTrackerState, createHead(7)).state;
		expect(stepHeadSeen(pending, createHead(6, 'b'), ['b'])).to.deep.equal({state: pending, effects: []});
		expect(stepHeadSeen(pending, createHead(7), ['a']).effects).to.deep.equal([]);
	});

	it('keeps the time at which a newer generation was first known until the newest is adopted', () => {
		const known = manifest.stepTracker(manifest.initialTrackerState, {type: eventType.GenerationKnown, generation: 7}, 10).state;
		const pending = stepHeadSeen(stepHeadSeen(known, createHead(6), [], 20).state, createHead(8), [], 30).state;
		expect(pending.newer).to.deep.equal({generation: 8, since: 10});
		expect(pending.pending?.head.generation).to.equal(8);
		const further = manifest.stepTracker(pending, {type: eventType.GenerationKnown, generation: 9}, 40).state;
		const adopted = manifest.stepTracker(further, {type: eventType.SectionsArrived, held: new Set(['a'])}, 50).state;
		expect(adopted.newer).to.deep.equal({generation: 9, since: 10});
		expect(stepHeadSeen(adopted, createHead(9), ['a'], 60).state.newer).to.equal(undefined);
	});

	it('throws when two changes carry the same generation', () => {
		const {state} = stepHeadSeen(manifest.initialTrackerState, createHead(1), ['a']);
		expect(() => stepHeadSeen(state, createHead(1, 'a', 'other'), ['a'])).to.throw(core.util.InvariantError, 'manifest.one-change-per-generation');
	});
});

import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const {Loading: loading, Loaded: loaded} = core.rollout.RolloutPhase;

function engine(endpoint: string, version: number, changes: Partial<core.rollout.RolloutEngine> = {}): core.rollout.RolloutEngine {
	return {
		endpoint, bornAt: 1, model: 'm', version, active: 0, ...changes,
	};
}

function step(endpoint: string, version: number, phase: core.rollout.RolloutPhase, bornAt = 1): core.rollout.RolloutStep {
	return {
		endpoint, bornAt, model: 'm', version, phase,
	};
}

function plan(
	steps: readonly core.rollout.RolloutStep[],
	engines: readonly core.rollout.RolloutEngine[],
	target: number,
): readonly core.rollout.RolloutStep[] {
	return core.rollout.planRollout({
		plan: {
			fence: 1, round: 0, steps, named: [],
		}, engines, targets: new Map([['m', target]]), named: [], fence: 2,
	}).steps;
}

describe('planRollout', () => {
	const pool = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'].map(id => engine(id, 1));

	it('loads a quarter of a pool at once, and at least two engines', () => {
		expect(plan([], pool, 2).map(item => item.endpoint)).to.deep.equal(['a', 'b']);
		expect(plan([], pool.slice(0, 3), 2).map(item => item.endpoint)).to.deep.equal(['a', 'b']);
	});

	it('loads engines with the oldest weights first, then those with the fewest requests', () => {
		const engines = [engine('a', 2, {active: 0}), engine('b', 1, {active: 9}), engine('c', 1, {active: 3}), engine('d', 2)];
		expect(plan([], engines, 3).map(item => item.endpoint)).to.deep.equal(['c', 'b']);
	});

	it('continues with further engines as loads finish', () => {
		const steps = [step('a', 2, loading), step('b', 2, loading)];
		const next = plan(steps, [engine('a', 2), ...pool.slice(1)], 2);
		expect(next).to.deep.equal([
			step('a', 2, loaded), step('b', 2, loading), step('c', 2, loading),
		]);
	});

	it('skips a superseded version for engines that did not begin to load it, and lets loads in progress finish', () => {
		const steps = [step('a', 2, loading)];
		expect(plan(steps, pool, 3)).to.deep.equal([step('a', 2, loading), step('b', 3, loading)]);
	});

	it('loads a newer version on an engine that finished an earlier load', () => {
		const steps = [step('a', 2, loaded)];
		expect(plan(steps, [engine('a', 2)], 3)).to.deep.equal([step('a', 3, loading)]);
	});

	it('drops steps of engines that are not listed or were restarted', () => {
		const steps = [step('a', 2, loading), step('z', 2, loading)];
		expect(plan(steps, [engine('a', 2, {bornAt: 5})], 2)).to.deep.equal([]);
	});

	it('keeps the step of a silent engine as one of the loads, and plans no other for it', () => {
		const engines = [engine('a', 1, {isSilent: true}), engine('b', 1, {isSilent: true}), ...pool.slice(2)];
		expect(plan([step('a', 2, loading)], engines, 2)).to.deep.equal([step('a', 2, loading), step('c', 2, loading)]);
	});

	it('plans no steps when all engines have the newest version', () => {
		expect(plan([], pool, 1)).to.deep.equal([]);
	});
});

describe('listNewlyLoaded', () => {
	function planOf(steps: readonly core.rollout.RolloutStep[]): core.rollout.RolloutPlan {
		return {...core.rollout.emptyRolloutPlan, steps};
	}

	it('lists a load that finished, and none that the earlier plan has as loaded', () => {
		const before = planOf([step('a', 2, loaded), step('b', 2, loading)]);
		const now = planOf([step('a', 2, loaded), step('b', 2, loaded), step('c', 2, loading)]);
		expect(core.rollout.listNewlyLoaded(now, before)).to.deep.equal([step('b', 2, loaded)]);
	});

	it('lists an engine again after it was restarted or loaded other weights', () => {
		const before = planOf([step('a', 2, loaded), step('b', 2, loaded)]);
		const now = planOf([step('a', 2, loaded, 5), step('b', 3, loaded)]);
		expect(core.rollout.listNewlyLoaded(now, before)).to.deep.equal(now.steps);
	});
});

describe('listsVersions', () => {
	const plan = {...core.rollout.emptyRolloutPlan, named: [{model: 'm', version: 2, seenAt: 5}, {model: 'n', version: 3, seenAt: 5}]};

	it('is true while a plan has a time for each named version, whatever that time is', () => {
		expect(core.rollout.listsVersions(plan, [])).to.equal(true);
		expect(core.rollout.listsVersions(plan, [{model: 'm', version: 2, seenAt: 9}])).to.equal(true);
	});

	// The loading engines are at their limit, so that a further version changes no step.
	it('is false when a version was named since', () => {
		expect(core.rollout.listsVersions(plan, [{model: 'm', version: 2, seenAt: 5}, {model: 'm', version: 3, seenAt: 9}])).to.equal(false);
		expect(core.rollout.listsVersions(plan, [{model: 'n', version: 2, seenAt: 5}])).to.equal(false);
	});
});

import * as rolloutPlan from './rollout-plan.js';

/** An engine as the leader knows it. */
export type RolloutEngine = {
	readonly endpoint: string;
	readonly bornAt: number;
	readonly model: string;
	/** Version of the weights that it holds, as last seen. */
	readonly version: number;
	/** Requests under way, as last seen. */
	readonly active: number;
};

/** Limits of a roll-out. */
export type RolloutLimits = {
	/** Engines of a model that may load at once, as a share of all; at least `minLoads` may. */
	readonly maxLoadingShare: number;
	readonly minConcurrentLoads: number;
};

/** Loads slow down beyond about a quarter of a pool at both deployments (3 of 13 and 2 of 8 engines). */
export const defaultRolloutLimits: RolloutLimits = {maxLoadingShare: 0.25, minConcurrentLoads: 2};

/** What a plan rests on. */
export type RolloutInput = {
	/** Plan that stands. */
	readonly plan: rolloutPlan.RolloutPlan;
	readonly engines: readonly RolloutEngine[];
	/** Newest named version of each model. */
	readonly targets: ReadonlyMap<string, number>;
	/** Versions with the times at which they were first seen. */
	readonly named: readonly rolloutPlan.NamedVersion[];
	/** Fencing number of the leader that plans. */
	readonly fence: number;
};

/**
 * Plans the next steps of the roll-outs of all models.
 *
 * Engines that load stay until they are seen with the version; engines that are gone or were restarted are dropped.
 * Further engines with older weights follow up to the limit, those with the oldest weights and
 * then those with the fewest requests first, since these finish soonest.
 */
export function planRollout(
	{plan, engines, targets, named, fence}: RolloutInput,
	terms: RolloutLimits = defaultRolloutLimits,
): rolloutPlan.RolloutPlan {
	const steps: rolloutPlan.RolloutStep[] = [];
	for (const [model, version] of targets) {
		const ofModel = engines.filter(engine => engine.model === model);
		steps.push(...planModelSteps(plan, ofModel, version, terms));
	}

	return {
		fence, round: plan.round, steps, named,
	};
}

function planModelSteps(
	plan: rolloutPlan.RolloutPlan,
	engines: readonly RolloutEngine[],
	version: number,
	terms: RolloutLimits,
): rolloutPlan.RolloutStep[] {
	const kept = engines
		.map(engine => updateStep(plan, engine))
		.filter(step => step !== undefined);
	const busy = new Set(kept.filter(step => step.phase === rolloutPlan.RolloutPhase.Loading).map(step => step.endpoint));
	const limit = Math.max(terms.minConcurrentLoads, Math.floor(engines.length * terms.maxLoadingShare));
	const next = engines
		.filter(engine => engine.version < version && !busy.has(engine.endpoint))
		// Each version has a time by which it must be in place, so the oldest weights go first.
		.sort((a, b) => a.version - b.version || a.active - b.active || (a.endpoint < b.endpoint ? -1 : 1))
		.slice(0, Math.max(0, limit - busy.size))
		.map((engine): rolloutPlan.RolloutStep => ({
			endpoint: engine.endpoint, bornAt: engine.bornAt, model: engine.model, version, phase: rolloutPlan.RolloutPhase.Loading,
		}));
	const replaced = new Set(next.map(step => step.endpoint));
	return [...kept.filter(step => !replaced.has(step.endpoint)), ...next];
}

/** Returns the step of an engine as it stands now, or `undefined` where none is needed any more. */
function updateStep(plan: rolloutPlan.RolloutPlan, engine: RolloutEngine): rolloutPlan.RolloutStep | undefined {
	const step = plan.steps.find(item =>
		item.endpoint === engine.endpoint && item.bornAt === engine.bornAt && item.model === engine.model);
	if (step === undefined || step.phase === rolloutPlan.RolloutPhase.Loaded) {
		return step;
	}

	return engine.version >= step.version ? {...step, phase: rolloutPlan.RolloutPhase.Loaded} : step;
}

import * as rolloutPlan from './rollout-plan.js';

/** State of an engine as last seen by the leader. */
export type RolloutEngine = {
	readonly endpoint: string;
	readonly bornAt: number;
	readonly model: string;
	/** Version of the loaded weights. */
	readonly version: number;
	/** Requests in flight. */
	readonly active: number;
	/** Whether the engine has been silent for a moment; it may go on loading. */
	readonly isSilent?: boolean;
};

/** Limits on concurrent loads in a roll-out. */
export type RolloutLimits = {
	/** Maximum share of a model's engines that may load weights at once. */
	readonly maxLoadingShare: number;
	/** Number of engines that may load at once even if that exceeds `maxLoadingShare`. */
	readonly minConcurrentLoads: number;
};

/** Loads become slower when more than about a quarter of a pool loads at once, at both deployments (3 of 13 and 2 of 8 engines). */
export const defaultRolloutLimits: RolloutLimits = {maxLoadingShare: 0.25, minConcurrentLoads: 2};

/** Input of {@link planRollout}. */
export type RolloutInput = {
	/** Current plan. */
	readonly plan: rolloutPlan.RolloutPlan;
	readonly engines: readonly RolloutEngine[];
	/** Newest named version by model. */
	readonly targets: ReadonlyMap<string, number>;
	/** Named versions with the times at which they were first seen. */
	readonly named: readonly rolloutPlan.NamedVersion[];
	/** Fencing token of the leader that plans. */
	readonly fence: number;
};

/**
 * Plans the next steps of the roll-outs of all models.
 *
 * Steps of loading engines remain until the engine is seen with the version. Steps of engines that are not listed or were restarted
 * are dropped. A silent engine keeps its step, which counts as one of the concurrent loads, and gets no new one. Up to the limit, engines
 * with older weights are added: those with the oldest weights first, then those with the fewest requests, since they finish their requests
 * soonest.
 */
export function planRollout(
	{plan, engines, targets, named, fence}: RolloutInput,
	limits: RolloutLimits = defaultRolloutLimits,
): rolloutPlan.RolloutPlan {
	const steps: rolloutPlan.RolloutStep[] = [];
	for (const [model, version] of targets) {
		const ofModel = engines.filter(engine => engine.model === model);
		steps.push(...planModelSteps(plan, ofModel, version, limits));
	}

	return {
		fence, round: plan.round, steps, named,
	};
}

function planModelSteps(
	plan: rolloutPlan.RolloutPlan,
	engines: readonly RolloutEngine[],
	version: number,
	limits: RolloutLimits,
): rolloutPlan.RolloutStep[] {
	const kept = engines
		.map(engine => updateStep(plan, engine))
		.filter(step => step !== undefined);
	const loading = new Set(kept.filter(step => step.phase === rolloutPlan.RolloutPhase.Loading).map(step => step.endpoint));
	const responsive = engines.filter(engine => engine.isSilent !== true);
	const limit = Math.max(limits.minConcurrentLoads, Math.floor(responsive.length * limits.maxLoadingShare));
	const next = responsive
		.filter(engine => engine.version < version && !loading.has(engine.endpoint))
		// Each version has a deadline by which it must be loaded, so engines with the oldest weights are first.
		.sort((a, b) => a.version - b.version || a.active - b.active || (a.endpoint < b.endpoint ? -1 : 1))
		.slice(0, Math.max(0, limit - loading.size))
		.map((engine): rolloutPlan.RolloutStep => ({
			endpoint: engine.endpoint, bornAt: engine.bornAt, model: engine.model, version, phase: rolloutPlan.RolloutPhase.Loading,
		}));
	const replaced = new Set(next.map(step => step.endpoint));
	return [...kept.filter(step => !replaced.has(step.endpoint)), ...next];
}

/** Returns the updated step of an engine, or `undefined` if the plan has none for this incarnation. */
function updateStep(plan: rolloutPlan.RolloutPlan, engine: RolloutEngine): rolloutPlan.RolloutStep | undefined {
	const step = plan.steps.find(item =>
		item.endpoint === engine.endpoint && item.bornAt === engine.bornAt && item.model === engine.model);
	if (step === undefined || step.phase === rolloutPlan.RolloutPhase.Loaded) {
		return step;
	}

	return engine.version >= step.version ? {...step, phase: rolloutPlan.RolloutPhase.Loaded} : step;
}

/** Phase of one engine in a roll-out. */
export enum RolloutPhase {
	/** Out of placement; the order may be under way. */
	Loading = 'loading',
	/** Holds the new weights. */
	Loaded = 'loaded',
}

/** One engine in a roll-out. */
export type RolloutStep = {
	readonly endpoint: string;
	/** Start of the engine's incarnation, in Unix milliseconds. */
	readonly bornAt: number;
	readonly model: string;
	readonly version: number;
	readonly phase: RolloutPhase;
};

/** A named version of weights, as the leader passes it on. */
export type NamedVersion = {
	readonly model: string;
	readonly version: number;
	/** When the version was first seen, in Unix milliseconds. */
	readonly seenAt: number;
};

/** The roll-out as the leader publishes it in the store, so that all VMs leave out engines that load. */
export type RolloutPlan = {
	/** Fencing number of the leader that wrote it. */
	readonly fence: number;
	/** Grows each time the plan is published again to repeat an order. */
	readonly round: number;
	readonly steps: readonly RolloutStep[];
	/** Versions with the time since which they count, which a VM that starts later can't know by itself. */
	readonly named: readonly NamedVersion[];
};

/** The plan before any roll-out. */
export const emptyRolloutPlan: RolloutPlan = {
	fence: 0, round: 0, steps: [], named: [],
};

/** Returns whether an engine is out of placement by a plan. */
export function isLoading(plan: RolloutPlan, endpoint: string): boolean {
	return plan.steps.some(step => step.endpoint === endpoint && step.phase === RolloutPhase.Loading);
}

/** Returns whether two plans tell the same steps. */
export function isSamePlan(a: RolloutPlan, b: RolloutPlan): boolean {
	return a.steps.length === b.steps.length && a.steps.every(step => b.steps.some(other => isSameStep(step, other)));
}

/** Returns the steps that a plan calls loaded and an earlier plan did not. */
export function listNewlyLoaded(plan: RolloutPlan, earlier: RolloutPlan): RolloutStep[] {
	return plan.steps.filter(step => step.phase === RolloutPhase.Loaded && !earlier.steps.some(other => isSameStep(step, other)));
}

function isSameStep(a: RolloutStep, b: RolloutStep): boolean {
	return a.endpoint === b.endpoint && a.bornAt === b.bornAt && a.model === b.model && a.version === b.version && a.phase === b.phase;
}

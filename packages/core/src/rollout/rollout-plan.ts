/** Phase of one engine in a roll-out. */
export enum RolloutPhase {
	/** Excluded from placement; the order to load may be in progress. */
	Loading = 'loading',
	/** Has loaded the new weights. */
	Loaded = 'loaded',
}

/** Step of a roll-out: one engine that loads one version. */
export type RolloutStep = {
	readonly endpoint: string;
	/** Start time of the engine's incarnation, in Unix milliseconds. */
	readonly bornAt: number;
	readonly model: string;
	readonly version: number;
	readonly phase: RolloutPhase;
};

/** A weights version that the operator named, as the leader publishes it. */
export type NamedVersion = {
	readonly model: string;
	readonly version: number;
	/** When the version was first seen, in Unix milliseconds. */
	readonly seenAt: number;
	/** Milliseconds between then and when the plan was written; absent in plans of older builds. */
	readonly ageMs?: number;
	/** Whether the store got a key of the version that ends with the time for which the replaced weights may be used. */
	readonly hasRecentKey?: boolean;
};

/** The roll-out plan that the leader publishes in the key-value store, so that all VMs exclude loading engines from placement. */
export type RolloutPlan = {
	/** Fencing token of the leader that wrote the plan. */
	readonly fence: number;
	/** Name of the VM that wrote the plan; absent in plans of older builds. */
	readonly writer?: string;
	/** Increases each time the plan is published again to retry an order. */
	readonly round: number;
	readonly steps: readonly RolloutStep[];
	/** Named versions with the times at which they were first seen, which a VM that starts later can't know by itself. */
	readonly named: readonly NamedVersion[];
};

/** The plan before the first roll-out. */
export const emptyRolloutPlan: RolloutPlan = {
	fence: 0, round: 0, steps: [], named: [],
};

/** Loading engines by plan, since each placement asks for each engine. */
const loadingEndpoints = new WeakMap<RolloutPlan, ReadonlySet<string>>();

/** Returns whether a plan excludes an engine from placement because it loads weights. */
export function isLoading(plan: RolloutPlan, endpoint: string): boolean {
	let loading = loadingEndpoints.get(plan);
	if (loading === undefined) {
		loading = new Set(plan.steps.filter(step => step.phase === RolloutPhase.Loading).map(step => step.endpoint));
		loadingEndpoints.set(plan, loading);
	}

	return loading.has(endpoint);
}

/** Returns whether two plans have the same steps. */
export function isSamePlan(a: RolloutPlan, b: RolloutPlan): boolean {
	return a.steps.length === b.steps.length && a.steps.every(step => b.steps.some(other => isSameStep(step, other)));
}

/** Returns whether a plan has a time for each of the named versions, and states which of them have keys. */
export function listsVersions(plan: RolloutPlan, named: readonly NamedVersion[]): boolean {
	return named.every(({model, version, hasRecentKey = false}) => {
		const known = plan.named.find(other => other.model === model && other.version === version);
		return known !== undefined && (known.hasRecentKey === true || !hasRecentKey);
	});
}

/** Returns the loaded steps of a plan that an earlier plan does not have as loaded. */
export function listNewlyLoaded(plan: RolloutPlan, earlier: RolloutPlan): RolloutStep[] {
	return plan.steps.filter(step => step.phase === RolloutPhase.Loaded && !earlier.steps.some(other => isSameStep(step, other)));
}

function isSameStep(a: RolloutStep, b: RolloutStep): boolean {
	return a.endpoint === b.endpoint && a.bornAt === b.bornAt && a.model === b.model && a.version === b.version && a.phase === b.phase;
}

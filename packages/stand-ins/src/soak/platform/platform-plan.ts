import * as util from '../../util/index.js';
import * as blockPlan from './block-plan.js';
import * as extraPlan from './extra-plan.js';
import * as platformAction from './platform-action.js';
import * as silencePlan from './silence-plan.js';

/** Plan of a run. */
export type PlatformPlan = {
	readonly sizes: platformAction.PlatformSizes;
	readonly versionMs: number;
	/** In the order of their times. */
	readonly actions: readonly platformAction.PlannedAction[];
};

const {ActionType: types} = platformAction;
const changes = [types.NameVersion, types.RevokeKey, types.ConfigStorm, types.Burst];
const plannedActions = [types.StopGateway, types.StopGateway, types.StopInTurn];
const gatewayActions = [
	types.StopGateway,
	types.KillGateway,
	types.SuspendGateway,
	types.StopAll,
	types.KillAll,
	types.SuspendAll,
	types.SuspendLeader,
	types.SuspendLeaders,
	types.NameVersions,
];
const storeActions = [
	types.StoreDown, types.StoreSlow, types.StoreLosesAnswers, types.StoreDiscardsHistory, types.StoreRefusesSome,
];
const serverActions = [
	types.CrashServer,
	types.SlowServer,
	types.SlowServer,
	types.FullServer,
	types.DrainServer,
	types.RemoveEntry,
	types.RestartServer,
	types.ReplaceServer,
	types.BreakStreams,
	types.LateOrders,
	types.LostOrders,
	types.NameVersions,
];
/** Actions that disturb roll-outs of weights while the store and the links are calm. */
const rolloutActions = [
	types.NameVersions,
	types.SuspendLeader,
	types.SuspendLeaders,
	types.SuspendLeaders,
	types.SlowServer,
	types.LateOrders,
	types.LostOrders,
	types.CrashServer,
	types.StopGateway,
];
/** Actions that may last longer than others, so that a roll-out is not complete when its bound has passed. */
const longActions: ReadonlySet<platformAction.ActionType> = new Set([types.LostOrders, types.SuspendLeader, types.SuspendLeaders]);
const linkActions = [
	types.DelayServerLink,
	types.HoldRequestsToServer,
	types.HoldResponsesOfServer,
	types.ResetServerLink,
	types.SilenceServerLink,
	types.HoldRequestsToStore,
	types.HoldResponsesOfStore,
	types.SilenceStoreLink,
];
/** Types of actions of a phase; a rule that excuses certain disruptions can only be judged in phases without them. */
const phaseActions: ReadonlyArray<readonly platformAction.ActionType[]> = [
	plannedActions,
	rolloutActions,
	[...gatewayActions, ...serverActions],
	storeActions,
	linkActions,
	[...gatewayActions, ...storeActions, ...serverActions, ...linkActions],
];

const minPhaseMs = 12_000;
const maxPhaseMs = 30_000;
const meanIntervalMs = 1200;
const minDurationMs = 300;
const maxDurationMs = 6000;
const maxLongDurationMs = 16_000;
const maxAmount = 6;
/** Milliseconds without actions before a phase and at the start of the run. */
const pauseMs = 4000;
/** Milliseconds at the end of the run without actions: the time to recover, and a time in which service is judged. */
const quietEndMs = 20_000;
/** As `pauseMs` and `quietEndMs`, where only silences and changes are played. */
const shortPauseMs = 1000;
const shortQuietEndMs = 4000;
/** Share of the runs with prompts on which engines end, and how long these are sent. */
const crashingPromptsShare = 0.5;
const crashingPromptsSeed = 1_000_000;
const minCrashingPromptsMs = 6000;
const maxCrashingPromptsMs = 12_000;
const versionBoundsMs = [5000, 8000, 12_000];
/** Share of actions that are changes by the operator or bursts of clients. */
const changeShare = 0.35;
const largeRunShare = 0.1;

/** Options of a plan. */
export type PlatformPlanOptions = {
	/**
	 * Whether servers fall silent and the operator changes configurations all the while, gateways are blocked and stopped for some seeds, and
	 * nothing else happens; false by default.
	 */
	readonly onlySilences?: boolean;
};

/** Creates the plan of a run; a pure function of its arguments. */
export function createPlatformPlan(seed: number, durationMs: number, {onlySilences = false}: PlatformPlanOptions = {}): PlatformPlan {
	const random = new util.Random(seed);
	const sizes = {...drawSizes(random), dataCentres: extraPlan.drawDataCentres(seed)};
	const versionMs = random.pick(versionBoundsMs);
	const lastMs = durationMs - (onlySilences ? shortQuietEndMs : quietEndMs);
	if (onlySilences) {
		const phase = {fromMs: shortPauseMs, toMs: lastMs, mode: silencePlan.SilenceMode.Only};
		const actions = [...silencePlan.drawSilences(seed, [phase], sizes), ...blockPlan.drawBlocks(seed, phase, sizes)];
		return {sizes, versionMs, actions: actions.sort((a, b) => a.atMs - b.atMs)};
	}

	const actions: platformAction.PlannedAction[] = [];
	const phases: silencePlan.Phase[] = [];
	const busyUntil = new Map<string, number>();
	let phaseMs = 0;
	while (phaseMs < lastMs) {
		const phaseEndMs = Math.min(lastMs, phaseMs + random.integer(minPhaseMs, maxPhaseMs));
		const phaseTypes = random.pick(phaseActions);
		const phase = {fromMs: phaseMs + pauseMs, toMs: phaseEndMs, mode: silencePlan.drawMode(seed, phases.length)};
		const drawn = drawPhase(random, phase, phaseTypes, {sizes, lastMs, busyUntil});
		phases.push(phase);
		if (phase.mode !== silencePlan.SilenceMode.Only) {
			actions.push(...drawn);
		}

		phaseMs = phaseEndMs;
	}

	const prompted = [...actions, ...drawCrashingPrompts(seed, lastMs)];
	const all = [...prompted, ...silencePlan.drawSilences(seed, phases, sizes), ...extraPlan.drawExtraActions(seed, prompted, sizes, {fromMs: pauseMs, lastMs})];
	return {sizes, versionMs, actions: all.sort((a, b) => a.atMs - b.atMs)};
}

function drawPhase(
	random: util.Random,
	{fromMs, toMs}: silencePlan.Phase,
	phaseTypes: readonly platformAction.ActionType[],
	{sizes, lastMs, busyUntil}: {readonly sizes: platformAction.PlatformSizes; readonly lastMs: number; readonly busyUntil: Map<string, number>},
): platformAction.PlannedAction[] {
	const drawn: platformAction.PlannedAction[] = [];
	let atMs = fromMs;
	while (atMs < toMs) {
		const action = drawAction(random, Math.round(atMs), random.chance(changeShare) ? changes : phaseTypes, sizes);
		const endMs = action.atMs + platformAction.estimateMs(action, sizes);
		const targets = platformAction.listTargets(action, sizes);
		if (endMs <= lastMs && targets.every(target => (busyUntil.get(target) ?? 0) <= action.atMs)) {
			drawn.push(action);
			for (const target of targets) {
				busyUntil.set(target, endMs);
			}
		}

		atMs += random.exponential(meanIntervalMs);
	}

	return drawn;
}

/** Draws for half of the seeds a time with prompts on which engines end; other draws do not depend on it. */
function drawCrashingPrompts(seed: number, lastMs: number): platformAction.PlannedAction[] {
	const random = new util.Random(seed + crashingPromptsSeed);
	const durationMs = random.integer(minCrashingPromptsMs, maxCrashingPromptsMs);
	const latestMs = lastMs - durationMs - platformAction.crashRestartMs;
	return random.chance(crashingPromptsShare) && latestMs > pauseMs
		? [{
			atMs: random.integer(pauseMs, latestMs), type: types.CrashingPrompts, targetIndex: 0, durationMs, amount: 1,
		}]
		: [];
}

function drawSizes(random: util.Random): Omit<platformAction.PlatformSizes, 'dataCentres'> {
	const isLarge = random.chance(largeRunShare);
	return isLarge
		? {gateways: random.integer(8, 12), engines: random.integer(8, 14), runners: random.integer(6, 12)}
		: {gateways: random.integer(3, 6), engines: random.integer(1, 5), runners: random.integer(2, 4)};
}

function drawAction(random: util.Random, atMs: number, phaseTypes: readonly platformAction.ActionType[], sizes: platformAction.PlatformSizes): platformAction.PlannedAction {
	const type = random.pick(phaseTypes);
	const servers = (2 * sizes.engines) + sizes.runners;
	const count = platformAction.targetByType[type] === platformAction.ActionTarget.Server ? servers : sizes.gateways;
	const maxMs = longActions.has(type) ? maxLongDurationMs : maxDurationMs;
	return {
		atMs, type, targetIndex: random.integer(0, count - 1), durationMs: random.integer(minDurationMs, maxMs), amount: random.integer(1, maxAmount),
	};
}

import * as util from '../../util/index.js';

/** Action of a plan. */
export enum ActionType {
	/** SIGTERM, and a new process after the duration. */
	StopGateway = 'stop_gateway',
	KillGateway = 'kill_gateway',
	/** SIGSTOP, and SIGCONT after the duration. */
	SuspendGateway = 'suspend_gateway',
	/** SIGTERM of all gateways in turn. */
	StopInTurn = 'stop_in_turn',
	StopAll = 'stop_all',
	KillAll = 'kill_all',
	SuspendAll = 'suspend_all',
	/** Suspends the leading gateway and names several versions meanwhile. */
	SuspendLeader = 'suspend_leader',
	/** As `SuspendLeader`, and suspends each next leader too, except the last gateway. */
	SuspendLeaders = 'suspend_leaders',
	StoreDown = 'store_down',
	StoreSlow = 'store_slow',
	StoreLosesAnswers = 'store_loses_answers',
	StoreDiscardsHistory = 'store_discards_history',
	/** The store resets the connections of some gateways. */
	StoreRefusesSome = 'store_refuses_some',
	CrashServer = 'crash_server',
	SlowServer = 'slow_server',
	/** The server refuses all requests as one without a free slot does. */
	FullServer = 'full_server',
	DrainServer = 'drain_server',
	/** The entry of the server is removed while it goes on serving. */
	RemoveEntry = 'remove_entry',
	/** A new incarnation under the same id and address. */
	RestartServer = 'restart_server',
	/** Another server at the same address. */
	ReplaceServer = 'replace_server',
	BreakStreams = 'break_streams',
	/** The server carries out orders late and sends no response to them. */
	LateOrders = 'late_orders',
	/** The server closes the connections of orders and does not carry them out. */
	LostOrders = 'lost_orders',
	NameVersion = 'name_version',
	NameVersions = 'name_versions',
	RevokeKey = 'revoke_key',
	ConfigStorm = 'config_storm',
	DelayServerLink = 'delay_server_link',
	HoldRequestsToServer = 'hold_requests_to_server',
	HoldResponsesOfServer = 'hold_responses_of_server',
	ResetServerLink = 'reset_server_link',
	SilenceServerLink = 'silence_server_link',
	HoldRequestsToStore = 'hold_requests_to_store',
	HoldResponsesOfStore = 'hold_responses_of_store',
	SilenceStoreLink = 'silence_store_link',
	/** Some prompts have a part on which engines end. */
	CrashingPrompts = 'crashing_prompts',
	/** The clients send several times as many requests. */
	Burst = 'burst',
}

/** An action with its time, target and duration. */
export type PlannedAction = {
	/** Milliseconds since the start of the plan. */
	readonly atMs: number;
	readonly type: ActionType;
	/** Index of the gateway or server; for actions on several gateways, of the first of them. */
	readonly targetIndex: number;
	/** Milliseconds until the fault ends or an ended process is started again. */
	readonly durationMs: number;
	/** Parameter of the action: number of versions, of configurations or of gateways, or milliseconds of delay. */
	readonly amount: number;
};

/** Number of processes of a run. */
export type PlatformSizes = {
	readonly gateways: number;
	/** Servers of each language model. */
	readonly engines: number;
	/** Servers of the plain service. */
	readonly runners: number;
};

/** What actions of a type act on. */
export enum ActionTarget {
	Gateway = 'gateway',
	AllGateways = 'all_gateways',
	Store = 'store',
	Server = 'server',
	AllServers = 'all_servers',
	Nothing = 'nothing',
}

/** Plan of a run. */
export type PlatformPlan = {
	readonly sizes: PlatformSizes;
	readonly versionMs: number;
	readonly actions: readonly PlannedAction[];
};

/** What each type of action acts on; actions on the same target follow one another. */
export const targetByType: Readonly<Record<ActionType, ActionTarget>> = {
	[ActionType.StopGateway]: ActionTarget.Gateway,
	[ActionType.KillGateway]: ActionTarget.Gateway,
	[ActionType.SuspendGateway]: ActionTarget.Gateway,
	[ActionType.StopInTurn]: ActionTarget.AllGateways,
	[ActionType.StopAll]: ActionTarget.AllGateways,
	[ActionType.KillAll]: ActionTarget.AllGateways,
	[ActionType.SuspendAll]: ActionTarget.AllGateways,
	[ActionType.SuspendLeader]: ActionTarget.AllGateways,
	[ActionType.SuspendLeaders]: ActionTarget.AllGateways,
	[ActionType.StoreDown]: ActionTarget.Store,
	[ActionType.StoreSlow]: ActionTarget.Store,
	[ActionType.StoreLosesAnswers]: ActionTarget.Store,
	[ActionType.StoreDiscardsHistory]: ActionTarget.Store,
	[ActionType.StoreRefusesSome]: ActionTarget.Store,
	[ActionType.CrashServer]: ActionTarget.Server,
	[ActionType.SlowServer]: ActionTarget.Server,
	[ActionType.FullServer]: ActionTarget.Server,
	[ActionType.DrainServer]: ActionTarget.Server,
	[ActionType.RemoveEntry]: ActionTarget.Server,
	[ActionType.RestartServer]: ActionTarget.Server,
	[ActionType.ReplaceServer]: ActionTarget.Server,
	[ActionType.BreakStreams]: ActionTarget.Server,
	[ActionType.LateOrders]: ActionTarget.Server,
	[ActionType.LostOrders]: ActionTarget.Server,
	[ActionType.NameVersion]: ActionTarget.Nothing,
	[ActionType.NameVersions]: ActionTarget.Nothing,
	[ActionType.RevokeKey]: ActionTarget.Nothing,
	[ActionType.ConfigStorm]: ActionTarget.Nothing,
	[ActionType.DelayServerLink]: ActionTarget.Server,
	[ActionType.HoldRequestsToServer]: ActionTarget.Server,
	[ActionType.HoldResponsesOfServer]: ActionTarget.Server,
	[ActionType.ResetServerLink]: ActionTarget.Server,
	[ActionType.SilenceServerLink]: ActionTarget.Server,
	[ActionType.HoldRequestsToStore]: ActionTarget.Store,
	[ActionType.HoldResponsesOfStore]: ActionTarget.Store,
	[ActionType.SilenceStoreLink]: ActionTarget.Store,
	[ActionType.CrashingPrompts]: ActionTarget.AllServers,
	[ActionType.Burst]: ActionTarget.Nothing,
};

const changes = [ActionType.NameVersion, ActionType.RevokeKey, ActionType.ConfigStorm, ActionType.Burst];
const plannedActions = [ActionType.StopGateway, ActionType.StopGateway, ActionType.StopInTurn];
const gatewayActions = [
	ActionType.StopGateway,
	ActionType.KillGateway,
	ActionType.SuspendGateway,
	ActionType.StopAll,
	ActionType.KillAll,
	ActionType.SuspendAll,
	ActionType.SuspendLeader,
	ActionType.SuspendLeaders,
	ActionType.NameVersions,
];
const storeActions = [
	ActionType.StoreDown, ActionType.StoreSlow, ActionType.StoreLosesAnswers, ActionType.StoreDiscardsHistory, ActionType.StoreRefusesSome,
];
const serverActions = [
	ActionType.CrashServer,
	ActionType.SlowServer,
	ActionType.SlowServer,
	ActionType.FullServer,
	ActionType.DrainServer,
	ActionType.RemoveEntry,
	ActionType.RestartServer,
	ActionType.ReplaceServer,
	ActionType.BreakStreams,
	ActionType.LateOrders,
	ActionType.LostOrders,
	ActionType.NameVersions,
];
/** Actions that disturb roll-outs of weights while the store and the links are calm. */
const rolloutActions = [
	ActionType.NameVersions,
	ActionType.SuspendLeader,
	ActionType.SuspendLeaders,
	ActionType.SuspendLeaders,
	ActionType.SlowServer,
	ActionType.LateOrders,
	ActionType.LostOrders,
	ActionType.CrashServer,
	ActionType.StopGateway,
];
/** Actions that may last longer than others, so that a roll-out is not complete when its bound has passed. */
const longActions: ReadonlySet<ActionType> = new Set([ActionType.LostOrders, ActionType.SuspendLeader, ActionType.SuspendLeaders]);
const linkActions = [
	ActionType.DelayServerLink,
	ActionType.HoldRequestsToServer,
	ActionType.HoldResponsesOfServer,
	ActionType.ResetServerLink,
	ActionType.SilenceServerLink,
	ActionType.HoldRequestsToStore,
	ActionType.HoldResponsesOfStore,
	ActionType.SilenceStoreLink,
];
/** Types of actions of a phase; a rule that excuses certain disruptions can only be judged in phases without them. */
const phaseActions: ReadonlyArray<readonly ActionType[]> = [
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
/** Usual time from SIGTERM of a gateway to its next start, and from the notice of a server that leaves to its end. */
const stopMs = 5000;
const leaveMs = 3500;
/** Milliseconds without actions before a phase and at the start of the run. */
const pauseMs = 4000;
/** Milliseconds at the end of the run without actions: the time to recover, and a time in which service is judged. */
const quietEndMs = 20_000;
/** Share of the runs with prompts on which engines end, how long these are sent, and the time until an engine is back. */
const crashingPromptsShare = 0.5;
const crashingPromptsSeed = 1_000_000;
const minCrashingPromptsMs = 6000;
const maxCrashingPromptsMs = 12_000;
const crashRestartMs = 3000;
const versionBoundsMs = [5000, 8000, 12_000];
/** Share of actions that are changes by the operator or bursts of clients. */
const changeShare = 0.35;
const largeRunShare = 0.1;

/** Creates the plan of a run; a pure function of its arguments. */
export function createPlatformPlan(seed: number, durationMs: number): PlatformPlan {
	const random = new util.Random(seed);
	const sizes = drawSizes(random);
	const versionMs = random.pick(versionBoundsMs);
	const lastMs = durationMs - quietEndMs;
	const actions: PlannedAction[] = [];
	const busyUntil = new Map<string, number>();
	let phaseMs = 0;
	while (phaseMs < lastMs) {
		const phaseEndMs = Math.min(lastMs, phaseMs + random.integer(minPhaseMs, maxPhaseMs));
		const types = random.pick(phaseActions);
		let atMs = phaseMs + pauseMs;
		while (atMs < phaseEndMs) {
			const action = drawAction(random, Math.round(atMs), random.chance(changeShare) ? changes : types, sizes);
			const endMs = action.atMs + estimateMs(action, sizes);
			const targets = listTargets(action, sizes);
			if (endMs <= lastMs && targets.every(target => (busyUntil.get(target) ?? 0) <= action.atMs)) {
				actions.push(action);
				for (const target of targets) {
					busyUntil.set(target, endMs);
				}
			}

			atMs += random.exponential(meanIntervalMs);
		}

		phaseMs = phaseEndMs;
	}

	return {sizes, versionMs, actions: [...actions, ...drawCrashingPrompts(seed, lastMs)].sort((a, b) => a.atMs - b.atMs)};
}

/** Lists the names of all targets of an action. */
export function listTargets(action: PlannedAction, sizes: PlatformSizes): string[] {
	const target = targetByType[action.type];
	switch (target) {
		case ActionTarget.Nothing: {
			return [];
		}

		case ActionTarget.AllGateways: {
			return Array.from({length: sizes.gateways}, (_, index) => `${ActionTarget.Gateway} ${index}`);
		}

		case ActionTarget.AllServers: {
			return Array.from({length: (2 * sizes.engines) + sizes.runners}, (_, index) => `${ActionTarget.Server} ${index}`);
		}

		case ActionTarget.Store: {
			return [target];
		}

		case ActionTarget.Gateway:
		case ActionTarget.Server: {
			return [`${target} ${action.targetIndex}`];
		}
	}
}

/** Formats an action as one line. */
export function formatAction(action: PlannedAction): string {
	return `at ${action.atMs} ms: ${action.type} ${action.targetIndex} for ${action.durationMs} ms, ${action.amount}`;
}

/** Returns about how long an action takes, in milliseconds. */
export function estimateMs(action: PlannedAction, sizes: PlatformSizes): number {
	const estimates: Partial<Record<ActionType, number>> = {
		[ActionType.StopGateway]: stopMs + action.durationMs,
		[ActionType.StopAll]: stopMs + action.durationMs,
		[ActionType.StopInTurn]: sizes.gateways * stopMs,
		[ActionType.DrainServer]: leaveMs + action.durationMs,
		[ActionType.RemoveEntry]: leaveMs + action.durationMs,
		[ActionType.CrashingPrompts]: crashRestartMs + action.durationMs,
	};
	return estimates[action.type] ?? action.durationMs;
}

/** Draws for half of the seeds a time with prompts on which engines end; other draws do not depend on it. */
function drawCrashingPrompts(seed: number, lastMs: number): PlannedAction[] {
	const random = new util.Random(seed + crashingPromptsSeed);
	const durationMs = random.integer(minCrashingPromptsMs, maxCrashingPromptsMs);
	const latestMs = lastMs - durationMs - crashRestartMs;
	return random.chance(crashingPromptsShare) && latestMs > pauseMs
		? [{
			atMs: random.integer(pauseMs, latestMs), type: ActionType.CrashingPrompts, targetIndex: 0, durationMs, amount: 1,
		}]
		: [];
}

function drawSizes(random: util.Random): PlatformSizes {
	const isLarge = random.chance(largeRunShare);
	return isLarge
		? {gateways: random.integer(8, 12), engines: random.integer(8, 14), runners: random.integer(6, 12)}
		: {gateways: random.integer(3, 6), engines: random.integer(1, 5), runners: random.integer(2, 4)};
}

function drawAction(random: util.Random, atMs: number, types: readonly ActionType[], sizes: PlatformSizes): PlannedAction {
	const type = random.pick(types);
	const servers = (2 * sizes.engines) + sizes.runners;
	const count = targetByType[type] === ActionTarget.Server ? servers : sizes.gateways;
	const maxMs = longActions.has(type) ? maxLongDurationMs : maxDurationMs;
	return {
		atMs, type, targetIndex: random.integer(0, count - 1), durationMs: random.integer(minDurationMs, maxMs), amount: random.integer(1, maxAmount),
	};
}

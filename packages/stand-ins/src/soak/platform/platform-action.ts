/** Action of a plan. */
export enum ActionType {
	/** SIGTERM, and a new process after the duration. */
	StopGateway = 'stop_gateway',
	KillGateway = 'kill_gateway',
	/** Signals to one gateway that follow one another while the former ones are still carried out. */
	SignalSeries = 'signal_series',
	/** SIGSTOP, and SIGCONT after the duration. */
	SuspendGateway = 'suspend_gateway',
	/** Other settings in the file of a gateway, and SIGHUP; the former ones and SIGHUP after the duration. */
	ChangeSettings = 'change_settings',
	/** As `ChangeSettings`, with settings that are not valid. */
	BreakSettings = 'break_settings',
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
	/** The store answers all calls of some gateways with status 503. */
	StoreUnavailableToSome = 'store_unavailable_to_some',
	/** The store answers all calls of some gateways with status 429. */
	StoreLimitsSome = 'store_limits_some',
	/** The store is unavailable, and restarts from a copy that is some seconds old, in the next era. */
	StoreReturns = 'store_returns',
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
	/** Keys revoked in series. */
	RevokeKeys = 'revoke_keys',
	ConfigStorm = 'config_storm',
	/** New timeouts of all routes. */
	ChangeTimeouts = 'change_timeouts',
	ChangeIdleTimeout = 'change_idle_timeout',
	/** Changes of all kinds in series. */
	MixedStorm = 'mixed_storm',
	DelayServerLink = 'delay_server_link',
	HoldRequestsToServer = 'hold_requests_to_server',
	HoldResponsesOfServer = 'hold_responses_of_server',
	ResetServerLink = 'reset_server_link',
	SilenceServerLink = 'silence_server_link',
	HoldRequestsToStore = 'hold_requests_to_store',
	HoldResponsesOfStore = 'hold_responses_of_store',
	SilenceStoreLink = 'silence_store_link',
	/** One server sends nothing for the duration, and goes on. */
	SilenceServer = 'silence_server',
	/** As `SilenceServer`, for several servers of a service at once. */
	SilenceServers = 'silence_servers',
	/** As `SilenceServer`, for all servers of a service at once. */
	SilenceService = 'silence_service',
	/** As `SilenceServer`, for several servers of a service, one after the other. */
	SilenceInTurn = 'silence_in_turn',
	/** SIGSTOP and SIGCONT of one gateway, several times in series. */
	BlockGateway = 'block_gateway',
	/** As `BlockGateway`, for all gateways at once. */
	BlockGateways = 'block_gateways',
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
	/** Parameter of the action: number of blocks, versions, configurations, gateways or servers, or milliseconds of delay. */
	readonly amount: number;
};

/** Number of processes of a run. */
export type PlatformSizes = {
	readonly gateways: number;
	/** Servers of each language model. */
	readonly engines: number;
	/** Servers of the plain service. */
	readonly runners: number;
	/** Data centres, over which the gateways and the servers of each service are spread. */
	readonly dataCentres: number;
};

/** Returns the name of the data centre of a gateway or of a server of a service, by its index. */
export function dataCentreOf(index: number, {dataCentres}: PlatformSizes): string {
	return `zone-${index % dataCentres}`;
}

/** What actions of a type act on. */
export enum ActionTarget {
	Gateway = 'gateway',
	AllGateways = 'all_gateways',
	Store = 'store',
	Server = 'server',
	AllServers = 'all_servers',
	/** What servers send: one silence of a server follows another, beside any other action on it. */
	Silence = 'silence',
	/** Whether gateways are stopped for a moment: one block of a gateway follows another, beside any other action on it. */
	Block = 'block',
	Nothing = 'nothing',
}

/** What each type of action acts on; actions on the same target follow one another. */
export const targetByType: Readonly<Record<ActionType, ActionTarget>> = {
	[ActionType.StopGateway]: ActionTarget.Gateway,
	[ActionType.KillGateway]: ActionTarget.Gateway,
	[ActionType.SignalSeries]: ActionTarget.Gateway,
	[ActionType.SuspendGateway]: ActionTarget.Gateway,
	[ActionType.ChangeSettings]: ActionTarget.Gateway,
	[ActionType.BreakSettings]: ActionTarget.Gateway,
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
	[ActionType.StoreUnavailableToSome]: ActionTarget.Store,
	[ActionType.StoreLimitsSome]: ActionTarget.Store,
	[ActionType.StoreReturns]: ActionTarget.Store,
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
	[ActionType.RevokeKeys]: ActionTarget.Nothing,
	[ActionType.ConfigStorm]: ActionTarget.Nothing,
	[ActionType.ChangeTimeouts]: ActionTarget.Nothing,
	[ActionType.ChangeIdleTimeout]: ActionTarget.Nothing,
	[ActionType.MixedStorm]: ActionTarget.Nothing,
	[ActionType.SilenceServer]: ActionTarget.Silence,
	[ActionType.SilenceServers]: ActionTarget.Silence,
	[ActionType.SilenceService]: ActionTarget.Silence,
	[ActionType.SilenceInTurn]: ActionTarget.Silence,
	[ActionType.BlockGateway]: ActionTarget.Block,
	[ActionType.BlockGateways]: ActionTarget.Block,
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

/** Usual time from SIGTERM of a gateway to its next start, and from the notice of a server that leaves to its end. */
const stopMs = 5000;
const leaveMs = 3500;
/** As `stopMs`, for a series of signals. */
const seriesMs = 9000;
/** Time from the last crashing prompt until an engine is back. */
export const crashRestartMs = 3000;
/** Time between two silences of a server. */
export const silencePauseMs = 1000;
/** Time between two blocks of a series. */
export const blockPauseMs = 200;

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

		case ActionTarget.Silence: {
			return listSilentServers(action, sizes).map(index => `${target} ${index}`);
		}

		case ActionTarget.Block: {
			return listBlockedGateways(action, sizes).map(index => `${target} ${index}`);
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
		[ActionType.SignalSeries]: seriesMs + action.durationMs,
		[ActionType.StopAll]: stopMs + action.durationMs,
		[ActionType.ChangeSettings]: 2 * action.durationMs,
		[ActionType.BreakSettings]: 2 * action.durationMs,
		[ActionType.StopInTurn]: sizes.gateways * stopMs,
		[ActionType.DrainServer]: leaveMs + action.durationMs,
		[ActionType.RemoveEntry]: leaveMs + action.durationMs,
		[ActionType.CrashingPrompts]: crashRestartMs + action.durationMs,
		[ActionType.BlockGateway]: action.amount * (action.durationMs + blockPauseMs),
		[ActionType.BlockGateways]: action.amount * (action.durationMs + blockPauseMs),
		[ActionType.SilenceServer]: action.durationMs + silencePauseMs,
		[ActionType.SilenceServers]: action.durationMs + silencePauseMs,
		[ActionType.SilenceService]: action.durationMs + silencePauseMs,
		[ActionType.SilenceInTurn]: (listSilentServers(action, sizes).length * action.durationMs) + silencePauseMs,
	};
	return estimates[action.type] ?? action.durationMs;
}

/** Lists the indexes of the servers that an action silences, all of one service. */
export function listSilentServers(action: PlannedAction, {engines, runners}: PlatformSizes): number[] {
	const services = [{first: 0, count: engines}, {first: engines, count: engines}, {first: 2 * engines, count: runners}];
	const {first, count} = services.findLast(service => service.first <= action.targetIndex)!;
	const counts: Partial<Record<ActionType, number>> = {[ActionType.SilenceServer]: 1, [ActionType.SilenceService]: count};
	return Array.from({length: Math.min(count, counts[action.type] ?? action.amount)}, (_, offset) =>
		first + ((action.targetIndex - first + offset) % count));
}

/** Lists the indexes of the gateways that an action blocks. */
export function listBlockedGateways({type, targetIndex}: PlannedAction, {gateways}: PlatformSizes): number[] {
	return type === ActionType.BlockGateways ? Array.from({length: gateways}, (_, index) => index) : [targetIndex];
}

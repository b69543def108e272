/** Names of the events in the log. */
export enum LogEvent {
	Started = 'started',
	Stopping = 'stopping',
	Stopped = 'stopped',
	/** A signal to read the settings again; they hold for the life of a process. */
	SettingsReloadIgnored = 'settings_kept',
	/** Whether the VM asks for new connections has changed. */
	ReadinessChanged = 'readiness_changed',
	StoreLost = 'store_lost',
	StoreRegained = 'store_regained',
	CacheStoreLost = 'cache_store_lost',
	CacheStoreRegained = 'cache_store_regained',
	CacheStoreReset = 'cache_store_reset',
	StoreEntryInvalid = 'store_entry_invalid',
	ConfigAccepted = 'config_accepted',
	WeightTargetSeen = 'weight_target_seen',
	RolloutPlanSeen = 'rollout_plan_seen',
	RolloutPlanWritten = 'rollout_plan_written',
	OrderSent = 'order_sent',
	LeaderGained = 'leader_gained',
	LeaderLost = 'leader_lost',
	VmsChanged = 'vms_changed',
	EndpointChanged = 'endpoint_changed',
	EndpointRemoved = 'endpoint_removed',
	EndpointUnresponsive = 'endpoint_unresponsive',
	EndpointResponsive = 'endpoint_responsive',
	/** A request whose head can't be read; its final line. */
	RequestRejected = 'request_rejected',
	/** No endpoint has room; the request waits for it at the VM. */
	RequestWaiting = 'request_waiting',
	RequestSent = 'request_sent',
	AttemptFailed = 'attempt_failed',
	/** The final line of a request whose head was read. */
	RequestEnded = 'request_ended',
	InternalError = 'internal_error',
	LinesDropped = 'lines_dropped',
}

/** How a request ended. */
export enum RequestOutcome {
	/** An endpoint's answer was passed on whole, a failure of its own included. */
	Answered = 'answered',
	/** The gateway answered itself; `code` says why. */
	Refused = 'refused',
	/** An answer was begun and could not be completed. */
	Truncated = 'cut',
	/** The caller closed its connection first. */
	CallerDisconnected = 'caller_gone',
}

/** What a refusal rested on; each code has some of these. */
export type RefusalInputs = {
	/** Time since the store last confirmed the configuration, in milliseconds. */
	readonly configAgeMs?: number;
	/** Version of the configuration that was asked. */
	readonly config?: number;
	readonly host?: string;
	/** Sends that were tried before. */
	readonly tries?: number;
	/** Endpoints of the pool that are listed as ready. */
	readonly ready?: number;
	/** Those of them that answer. */
	readonly responsive?: number;
	/** Those that load weights. */
	readonly loading?: number;
	/** Those whose weights may answer. */
	readonly serving?: number;
	/** Wait at this VM that was expected, in milliseconds. */
	readonly expectedWaitMs?: number;
	/** Work that the best endpoint had before it, in milliseconds. */
	readonly backlogMs?: number;
	/** Prompt tokens that the endpoint would have had to compute. */
	readonly prefill?: number;
};

/** Fields of each event. Times are in milliseconds, endpoints are named by their ids. */
export type LogFieldsByEvent = {
	[LogEvent.Started]: {readonly port: number; readonly dataCentre: string};
	[LogEvent.Stopping]: {readonly graceMs: number};
	[LogEvent.Stopped]: {readonly tookMs: number};
	[LogEvent.SettingsReloadIgnored]: Readonly<Record<string, never>>;
	[LogEvent.ReadinessChanged]: {readonly isReady: boolean; readonly configAgeMs?: number};
	[LogEvent.StoreLost]: {readonly prefix: string; readonly code: string; readonly problem: string};
	[LogEvent.StoreRegained]: {readonly prefix: string; readonly awayMs: number};
	[LogEvent.CacheStoreLost]: {readonly address: string; readonly problem: string};
	[LogEvent.CacheStoreRegained]: {readonly address: string};
	[LogEvent.CacheStoreReset]: {readonly address: string; readonly isRestarted: boolean};
	[LogEvent.StoreEntryInvalid]: {readonly key: string; readonly findings: string};
	[LogEvent.ConfigAccepted]: {readonly version: number; readonly routes: number};
	[LogEvent.WeightTargetSeen]: {readonly model: string; readonly version: number};
	[LogEvent.RolloutPlanSeen]: {readonly revision: number; readonly fence: number; readonly loading: string};
	[LogEvent.RolloutPlanWritten]: {readonly revision: number; readonly fence: number; readonly steps: number};
	[LogEvent.OrderSent]: {
		readonly endpoint: string; readonly model: string; readonly version: number; readonly fence: number;
		/** Accepted orders that the engine was expected to count. */
		readonly expected?: number;
		readonly outcome: string;
	};
	[LogEvent.LeaderGained]: {readonly fence: number; readonly clearInMs: number};
	[LogEvent.LeaderLost]: {readonly reason: string; readonly problem?: string};
	[LogEvent.VmsChanged]: {readonly vms: number};
	[LogEvent.EndpointChanged]: {readonly endpoint: string; readonly pool: string; readonly state: string; readonly bornAt: number};
	[LogEvent.EndpointRemoved]: {readonly endpoint: string; readonly maybeLapsed: boolean};
	[LogEvent.EndpointUnresponsive]: {readonly endpoint: string};
	[LogEvent.EndpointResponsive]: {readonly endpoint: string};
	[LogEvent.RequestRejected]: {readonly code: string; readonly findings: string};
	[LogEvent.RequestWaiting]: {readonly request: string} & RefusalInputs;
	[LogEvent.RequestSent]: {
		readonly request: string; readonly route: string; readonly config: number; readonly account?: string; readonly endpoint: string;
		/** Number of the send, from 1. */
		readonly send: number;
		/** Version of the weights that the endpoint is told to answer by. */
		readonly weights?: number;
		readonly costMs: number; readonly backlogMs: number; readonly prefill: number;
		/** Requests of this VM under way at the endpoint. */
		readonly active: number;
	};
	[LogEvent.AttemptFailed]: {
		readonly request: string; readonly endpoint: string; readonly fault: string;
		/** How far the send had come. */
		readonly progress: string;
		readonly status?: number; readonly detail?: string;
	};
	[LogEvent.RequestEnded]: {
		readonly request: string; readonly outcome: RequestOutcome; readonly route?: string; readonly kind?: string;
		/** Status that was sent; 0 where none was. */
		readonly status: number;
		/** Why the gateway answered itself. */
		readonly code?: string;
		readonly retryAfterMs?: number;
		/** From the arrival to the first part of the answer. */
		readonly firstMs?: number;
		/** Longest pause between two parts of the answer. */
		readonly maxGapMs?: number;
		readonly tookMs: number;
	} & RefusalInputs;
	[LogEvent.InternalError]: {readonly task: string; readonly problem: string; readonly peer?: string};
	[LogEvent.LinesDropped]: {readonly lines: number};
};

/** Events of single requests, whose number grows with the load. */
const requestEvents: ReadonlySet<LogEvent> = new Set([
	LogEvent.RequestRejected, LogEvent.RequestWaiting, LogEvent.RequestSent, LogEvent.AttemptFailed, LogEvent.RequestEnded,
]);

/** Whether an event is of one request; all others tell what a process believes or does. */
export function isRequestEvent(event: LogEvent): boolean {
	return requestEvents.has(event);
}

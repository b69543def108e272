import type * as operatorOverride from '../quarantine/operator-override.js';
import type * as retryObstacle from './retry-obstacle.js';
import type * as turnAwayReason from './turn-away-reason.js';

/** Names of log events. */
export enum LogEvent {
	Started = 'started',
	Stopping = 'stopping',
	Stopped = 'stopped',
	/** A signal to reload the settings was ignored; settings do not change during the lifetime of a process. */
	SettingsReloadIgnored = 'settings_kept',
	/** The readiness of the VM to receive new connections has changed. */
	ReadinessChanged = 'readiness_changed',
	StoreLost = 'store_lost',
	StoreRegained = 'store_regained',
	/** A response of the store carries a newer era: the store has lost its latest changes and returned from a copy. */
	StoreReturned = 'store_returned',
	/** All entries were read after the store returned from a copy. */
	StoreReread = 'store_reread',
	/** The responses of the store carry no era that can be used, so that a return from a copy goes unnoticed. */
	StoreEraUnusable = 'store_era_unusable',
	CacheStoreLost = 'cache_store_lost',
	CacheStoreRegained = 'cache_store_regained',
	CacheStoreReset = 'cache_store_reset',
	StoreEntryInvalid = 'store_entry_invalid',
	ConfigAccepted = 'config_accepted',
	/** The newest configuration can't be applied. */
	ConfigUnreadable = 'config_unreadable',
	WeightTargetSeen = 'weight_target_seen',
	WeightTargetDated = 'weight_target_dated',
	RolloutPlanSeen = 'rollout_plan_seen',
	RolloutPlanWritten = 'rollout_plan_written',
	OrderSent = 'order_sent',
	LeaderGained = 'leader_gained',
	LeaderLost = 'leader_lost',
	VmsChanged = 'vms_changed',
	/** Another VM keeps no accounts for this one any more, as it does not respond or shuts down; or it may again. */
	QuotaKeeperChanged = 'quota_keeper_changed',
	EndpointChanged = 'endpoint_changed',
	EndpointRemoved = 'endpoint_removed',
	/** An endpoint that was kept although its entry was missing has written it again. */
	EndpointRelisted = 'endpoint_relisted',
	/** An endpoint that was kept although its entry was missing is no longer used, since the entry has not returned in time. */
	EndpointDropped = 'endpoint_dropped',
	/** The store returned from a copy that lists an endpoint that has left; it is not used until its entry is written again or stays. */
	EndpointHeld = 'endpoint_held',
	/** This VM can't connect to an endpoint, while another VM does: connections go through them from now on. */
	PathInterrupted = 'path_interrupted',
	PathRestored = 'path_restored',
	EndpointUnresponsive = 'endpoint_unresponsive',
	EndpointResponsive = 'endpoint_responsive',
	/** An endpoint or cache store has asked this VM to send nothing for a time. */
	EndpointPaused = 'endpoint_paused',
	EndpointPauseEnded = 'endpoint_pause_ended',
	/** An endpoint states how many requests a second it takes from all VMs together, or another number than before. */
	EndpointLimited = 'endpoint_limited',
	EndpointLimitEnded = 'endpoint_limit_ended',
	/** An endpoint states a limit that is no positive decimal number; it is ignored. */
	EndpointLimitInvalid = 'endpoint_limit_invalid',
	/** An endpoint announced in a response that it is leaving. */
	EndpointLeaving = 'endpoint_leaving',
	/** An endpoint did not complete requests of this VM, all at about the same time: its process has ended, or its connections were closed. */
	EndpointInterrupted = 'endpoint_interrupted',
	/** Requests with a prompt part that ends endpoints are refused from now on. */
	PartQuarantined = 'part_quarantined',
	/** The evidence on quarantined parts could not be stored; it is tried again. */
	QuarantineNotStored = 'quarantine_not_stored',
	/** An operator's override on a prompt part is in force on this VM, or has ended. */
	OperatorOverrideAccepted = 'operator_override_accepted',
	OperatorOverrideEnded = 'operator_override_ended',
	/** Requests with a quarantined part are sent again: the evidence has expired, or proved to be void. */
	PartReleased = 'part_released',
	/** The head of a request cannot be parsed; the final line of such a request. */
	RequestRejected = 'request_rejected',
	/** No endpoint has capacity; the request waits at the VM. */
	RequestWaiting = 'request_waiting',
	RequestSent = 'request_sent',
	AttemptFailed = 'attempt_failed',
	/** An attempt that the request could have left for another endpoint sends nothing for too long. */
	AttemptSilent = 'attempt_silent',
	/** Counts of further such attempts at one endpoint in the last second, of which too many were silent for a line each. */
	AttemptsSilent = 'attempts_silent',
	/** The final line of a request whose head was parsed. */
	RequestEnded = 'request_ended',
	/** A request arrived on a connection that this VM had already closed; it is not executed, and its caller gets no response. */
	RequestDropped = 'request_dropped',
	/** The connection was closed before the whole response had left the process. */
	ResponseUnsent = 'response_unsent',
	/** The connection of a caller was closed, or its request was refused, since it uses more than its part of what the VM has. */
	CallerTurnedAway = 'caller_turned_away',
	/** The event loop was blocked: meanwhile nothing was read and no timer ran. */
	EventLoopBlocked = 'event_loop_blocked',
	InternalError = 'internal_error',
	LinesDropped = 'lines_dropped',
}

/** How a request ended. */
export enum RequestOutcome {
	/** The complete response of an endpoint was relayed, including error responses. */
	Answered = 'answered',
	/** The gateway responded with an error of its own; `code` gives the reason. */
	Refused = 'refused',
	/** A response was started but could not be completed. */
	Truncated = 'cut',
	/** The caller closed its connection before the response was complete. */
	CallerDisconnected = 'caller_gone',
}

/** Values on which a refusal was based; each code has a subset of them. */
export type RefusalInputs = {
	/** Time since the key-value store last confirmed the configuration, in milliseconds. */
	readonly configAgeMs?: number;
	/** Version of the configuration that was used. */
	readonly config?: number;
	readonly host?: string;
	/** Quarantined prompt part. */
	readonly part?: string;
	/** Number of earlier attempts. */
	readonly tries?: number;
	/** Number of endpoints of the pool that are listed as ready. */
	readonly ready?: number;
	/** Number of those that are responsive. */
	readonly responsive?: number;
	/** Number of those that asked for a pause, or have as many requests in flight as they may have after one. */
	readonly paused?: number;
	/** Number of those to which this VM may send nothing now, as they state a limit for all VMs together. */
	readonly limited?: number;
	/** Number of those that told this VM that they are leaving. */
	readonly leaving?: number;
	/** Number of those that are loading weights. */
	readonly loading?: number;
	/** Number of those whose weights may be used for responses. */
	readonly serving?: number;
	/** Expected wait at this VM, in milliseconds. */
	readonly expectedWaitMs?: number;
	/** Work queued at the best endpoint, in milliseconds. */
	readonly backlogMs?: number;
	/** Number of prompt tokens that the endpoint would have had to compute. */
	readonly prefill?: number;
	/** Client account whose quota refused the request. */
	readonly account?: string;
	/** Units of its quota that the request needs, and those that it had. */
	readonly units?: number;
	readonly availableUnits?: number;
	/** VM that decided, and the part of the account's quota that it held. */
	readonly keeper?: string;
	readonly heldShare?: number;
};

/** Fields of each log event. Durations are in milliseconds, endpoints are given by id. */
export type LogFieldsByEvent = {
	[LogEvent.Started]: {readonly port: number; readonly dataCentre: string};
	[LogEvent.Stopping]: {readonly graceMs: number};
	[LogEvent.Stopped]: {readonly tookMs: number};
	[LogEvent.SettingsReloadIgnored]: Readonly<Record<string, never>>;
	[LogEvent.ReadinessChanged]: {readonly isReady: boolean; readonly configAgeMs?: number};
	[LogEvent.StoreLost]: {readonly prefix: string; readonly code: string; readonly problem: string};
	[LogEvent.StoreRegained]: {readonly prefix: string; readonly awayMs: number};
	[LogEvent.StoreReturned]: {readonly era: number; readonly previous: number};
	[LogEvent.StoreReread]: {readonly prefix: string; readonly era?: number; readonly entries: number};
	[LogEvent.StoreEraUnusable]: {
		/** What the responses state instead; absent if they state nothing. */
		readonly text?: string;
	};
	[LogEvent.CacheStoreLost]: {readonly address: string; readonly problem: string};
	[LogEvent.CacheStoreRegained]: {readonly address: string};
	[LogEvent.CacheStoreReset]: {readonly address: string; readonly isRestarted: boolean};
	[LogEvent.StoreEntryInvalid]: {readonly key: string; readonly findings: string};
	[LogEvent.ConfigAccepted]: {
		readonly version: number; readonly routes: number;
		/** Absent if the configuration has no list of accounts. */
		readonly accounts?: number;
		readonly keys: number;
		/** Whether requests on routes that are not public need an API key. */
		readonly needsKeys: boolean;
	};
	[LogEvent.ConfigUnreadable]: {
		/** Version that stays in force; absent if there is none. */
		readonly version?: number;
		/** Whether the accounts and keys that the newest configuration lists can be read. */
		readonly hasReadableKeys: boolean;
		/** Number of keys that stay valid, and of those that were taken away. */
		readonly keys: number; readonly revokedKeys: number;
	};
	[LogEvent.WeightTargetSeen]: {
		readonly model: string; readonly version: number;
		/** Milliseconds before which the version can't have been named, as counted by this VM; absent if it was named before the first read. */
		readonly maxAgeMs?: number;
	};
	[LogEvent.WeightTargetDated]: {
		readonly model: string; readonly version: number;
		/** Milliseconds since the version was named, as this VM estimates. */
		readonly ageMs: number;
		/** What the estimate is based on. */
		readonly source: string;
		/** Bounds of the age by this VM's own reads, in milliseconds; the upper one is absent if the version was named before the first read. */
		readonly minAgeMs: number; readonly maxAgeMs?: number;
	};
	[LogEvent.RolloutPlanSeen]: {readonly revision: number; readonly fence: number; readonly loading: string};
	[LogEvent.RolloutPlanWritten]: {readonly revision: number; readonly fence: number; readonly steps: number};
	[LogEvent.OrderSent]: {
		readonly endpoint: string; readonly model: string; readonly version: number; readonly fence: number;
		/** Expected number of accepted orders at the engine. */
		readonly expected?: number;
		readonly outcome: string;
	};
	[LogEvent.LeaderGained]: {readonly fence: number; readonly clearInMs: number};
	[LogEvent.LeaderLost]: {readonly reason: string; readonly problem?: string};
	[LogEvent.VmsChanged]: {readonly vms: number};
	[LogEvent.QuotaKeeperChanged]: {readonly peer: string; readonly isResponsive: boolean};
	[LogEvent.EndpointChanged]: {readonly endpoint: string; readonly pool: string; readonly state: string; readonly bornAt: number};
	[LogEvent.EndpointRemoved]: {readonly endpoint: string; readonly maybeLapsed: boolean};
	[LogEvent.EndpointRelisted]: {
		readonly endpoint: string;
		/** Time since this VM read that the entry was missing. */
		readonly missingMs: number;
	};
	[LogEvent.EndpointDropped]: {readonly endpoint: string; readonly missingMs: number};
	[LogEvent.EndpointHeld]: {readonly endpoint: string; readonly bornAt: number};
	[LogEvent.PathInterrupted]: {
		readonly endpoint: string; readonly pool: string;
		/** How the last connection failed. */
		readonly outcome: string;
		/** Time for which nothing has come over the path. */
		readonly silentMs: number;
	};
	[LogEvent.PathRestored]: {readonly endpoint: string; readonly pool: string};
	[LogEvent.EndpointUnresponsive]: {readonly endpoint: string};
	[LogEvent.EndpointResponsive]: {readonly endpoint: string};
	[LogEvent.EndpointPaused]: {readonly endpoint: string; readonly pauseMs: number};
	[LogEvent.EndpointPauseEnded]: {
		readonly endpoint: string; readonly pausedMs: number;
		/** Whether the endpoint has restarted; otherwise the time has elapsed. */
		readonly isReplaced: boolean;
	};
	[LogEvent.EndpointLimited]: {
		readonly endpoint: string; readonly requestsPerSecond: number;
		/** Whether a digest of another VM has it; otherwise a response to this VM stated it. */
		readonly isFromPeer: boolean;
		/** Requests and other calls of this VM while the endpoint stated another limit. */
		readonly sends: number;
	};
	[LogEvent.EndpointLimitEnded]: {
		readonly endpoint: string; readonly limitedMs: number;
		/** Whether the endpoint has restarted; otherwise its responses state no limit any more. */
		readonly isReplaced: boolean;
		/** Requests and other calls of this VM while the endpoint stated a limit. */
		readonly sends: number;
	};
	[LogEvent.EndpointLimitInvalid]: {readonly endpoint: string; readonly text: string};
	[LogEvent.EndpointLeaving]: {readonly endpoint: string; readonly bornAt: number};
	[LogEvent.EndpointInterrupted]: {
		readonly endpoint: string; readonly bornAt: number;
		/** Number of requests whose response had begun, and of those that the endpoint may not have started with. */
		readonly begun: number; readonly waiting: number;
		/** The most frequent shared prompt parts of the requests whose response had begun, each with their number. */
		readonly parts: string;
	};
	[LogEvent.PartQuarantined]: {
		readonly part: string;
		/** Parts that a request must have as well to be refused, as long as the cause is not known more exactly. */
		readonly with: string;
		/** Number of endpoints that ended, and of different requests that were in progress there. */
		readonly ends: number; readonly requests: number;
	};
	[LogEvent.PartReleased]: {readonly part: string};
	[LogEvent.OperatorOverrideAccepted]: {
		readonly part: string; readonly action: operatorOverride.OperatorAction; readonly by: string; readonly reason: string;
		/** Time until the override ends, in milliseconds. */
		readonly endsInMs: number;
	};
	[LogEvent.OperatorOverrideEnded]: {readonly part: string; readonly action: operatorOverride.OperatorAction};
	[LogEvent.QuarantineNotStored]: {readonly problem: string};
	[LogEvent.RequestRejected]: {readonly code: string; readonly findings: string};
	[LogEvent.RequestWaiting]: {readonly request: string} & RefusalInputs;
	[LogEvent.RequestSent]: {
		readonly request: string; readonly route: string; readonly config: number; readonly account?: string; readonly endpoint: string;
		/** VM through which it is sent; absent if it is sent directly. */
		readonly helper?: string;
		/** Number of the attempt, starting at 1. */
		readonly send: number;
		/** Version of the weights that the endpoint is told to use. */
		readonly weights?: number;
		/** Milliseconds until the request may no longer start on these weights; absent for the newest ones. */
		readonly startWithinMs?: number;
		readonly costMs: number; readonly backlogMs: number; readonly prefill: number;
		/** Shared parts of the prompt; absent without a prompt. */
		readonly parts?: string;
		/** Number of requests of this VM in flight at the endpoint. */
		readonly active: number;
	};
	[LogEvent.AttemptFailed]: {
		readonly request: string; readonly endpoint: string; readonly fault: string;
		/** Progress of the attempt when it failed. */
		readonly progress: string;
		readonly status?: number; readonly detail?: string;
	};
	[LogEvent.AttemptSilent]: {
		readonly request: string; readonly endpoint: string;
		/** Why the request is not sent to another endpoint; absent if it is. */
		readonly obstacle?: retryObstacle.RetryObstacle;
	};
	[LogEvent.AttemptsSilent]: {
		readonly endpoint: string;
		/** Number of attempts without a line of their own. */
		readonly others: number;
		/** Their number by the reason why the request is not sent to another endpoint, or by `replaced`. */
		readonly reasons: string;
	};
	[LogEvent.RequestEnded]: {
		readonly request: string; readonly outcome: RequestOutcome; readonly route?: string; readonly kind?: string;
		/** HTTP status that was sent; 0 when none was sent. */
		readonly status: number;
		/** Error code, when the gateway responded with an error of its own. */
		readonly code?: string;
		readonly retryAfterMs?: number;
		/** Time from the arrival of the request to the first part of the response. */
		readonly firstMs?: number;
		/** Longest time between two parts of the response. */
		readonly maxGapMs?: number;
		/** Why the request was not sent to another endpoint, if an attempt failed. */
		readonly obstacle?: retryObstacle.RetryObstacle;
		readonly tookMs: number;
	} & RefusalInputs;
	[LogEvent.RequestDropped]: {
		/** Absent if the head can't be decoded. */
		readonly request?: string;
	};
	[LogEvent.ResponseUnsent]: {readonly request: string; readonly status: number; readonly problem: string};
	[LogEvent.CallerTurnedAway]: {
		readonly reason: turnAwayReason.TurnAwayReason;
		/** IP address of the caller; absent once its connection has closed. */
		readonly address?: string;
	};
	[LogEvent.EventLoopBlocked]: {readonly blockedMs: number};
	[LogEvent.InternalError]: {readonly task: string; readonly problem: string; readonly peer?: string};
	[LogEvent.LinesDropped]: {readonly lines: number};
};

/** Events of single requests; their number grows with the load. */
const requestEvents: ReadonlySet<LogEvent> = new Set([
	LogEvent.RequestRejected,
	LogEvent.RequestWaiting,
	LogEvent.RequestSent,
	LogEvent.AttemptFailed,
	LogEvent.AttemptSilent,
	LogEvent.RequestEnded,
	LogEvent.RequestDropped,
	LogEvent.ResponseUnsent,
	LogEvent.CallerTurnedAway,
]);

/** Returns whether an event concerns a single request; all other events concern the state of a process. */
export function isRequestEvent(event: LogEvent): boolean {
	return requestEvents.has(event);
}

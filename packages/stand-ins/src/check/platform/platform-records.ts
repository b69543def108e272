/** How an exchange between a client and a gateway ended. */
export enum ExchangeEnd {
	/** The response is complete according to its framing. */
	Complete = 'complete',
	/** The connection ended after a part of the response. */
	Truncated = 'truncated',
	/** The connection ended before the response began. */
	NoResponse = 'no_response',
	NotConnected = 'not_connected',
	/** The client closed the connection. */
	GaveUp = 'gave_up',
	/** Nothing ended the exchange until some time after the deadline. */
	Overdue = 'overdue',
}

/** Kind of a request, which decides how often it may be executed. */
export enum RequestKind {
	Safe = 'safe',
	Unsafe = 'unsafe',
	/** Stream that may be resumed at another server. */
	Resumable = 'resumable',
	/** Stream that may be executed once. */
	Once = 'once',
}

/** A request of a client with what the client saw of it; times are in milliseconds since the Unix epoch. */
export type Exchange = {
	readonly requestId: string;
	readonly gateway: string;
	readonly kind: RequestKind;
	/** Name of the route that the request is for. */
	readonly route: string;
	/** Service to which the route leads. */
	readonly service: string;
	readonly path: string;
	/** API key; empty on a public route. */
	readonly key: string;
	readonly body: string;
	/** Id of the last event that the client has of an earlier stream, which the request resumes; absent if it resumes none. */
	readonly resumedAfter?: number;
	readonly sentAt: number;
	/** Milliseconds after `sentAt` that the client waits. */
	readonly deadlineMs: number;
	/** Timeout of the route in the newest configuration when the request was sent, in milliseconds. */
	readonly timeoutMs: number;
	readonly endedAt: number;
	readonly end: ExchangeEnd;
	readonly status?: number;
	/** Value of the signature header. */
	readonly signature?: string;
	/** Request id in the header of the response. */
	readonly respondedId?: string;
	readonly responseBody: string;
	/** Whether the client used a connection that it had used before; false by default. */
	readonly isOnKeptConnection?: boolean;
};

/** A request that a server executed. */
export type Execution = {
	readonly server: string;
	readonly requestId: string;
	readonly path: string;
	readonly body: string;
	readonly arrivedAt: number;
	/** Deadline header that the server received, in milliseconds. */
	readonly deadlineMs?: number;
	/** Client account that the server was told. */
	readonly account?: string;
	/** Whether the server received an API key. */
	readonly hasKey: boolean;
	/** Whether its prompt has the part on which engines end; false by default. */
	readonly hasCrashingPart?: boolean;
	/** When the server was to end its work on it, as it seemed at its start. */
	readonly expectedEndAt?: number;
	/** When the response was complete or its connection closed; absent while the server works on it. */
	readonly endedAt?: number;
};

/** A request that reached a server, whether it was executed or not. */
export type Arrival = {
	readonly service: string;
	readonly requestId: string;
	readonly at: number;
};

/** First event of a stream. */
export type Start = {
	readonly server: string;
	readonly requestId: string;
	readonly version: number;
	readonly at: number;
};

/** Part of prompts on which engines end. */
export const crashingPart = 'dead';

/** End of an engine on a prompt. */
export type Crash = {
	readonly server: string;
	readonly at: number;
};

/** What a disruption acts on. */
export enum DisruptionTarget {
	/** A gateway process: ended, starting or suspended. */
	Gateway = 'gateway',
	Store = 'store',
	/** The link between one gateway and the store. */
	StoreLink = 'store_link',
	/** The links between all gateways and one server. */
	ServerLink = 'server_link',
	Server = 'server',
}

/** A period of disruption of one component. */
export type Disruption = {
	readonly target: DisruptionTarget;
	/** Name of the gateway or server; empty for the store. */
	readonly name: string;
	/** Whether the disruption is a stop by SIGTERM or a start after it. */
	readonly isPlanned: boolean;
	readonly from: number;
	readonly to: number;
};

/** A period in which a sound server sent nothing; no disruption. */
export type Silence = {
	readonly server: string;
	readonly from: number;
	readonly to: number;
};

/** A period of up to two seconds in which a gateway process was stopped; it excuses delays of that gateway, and no lost request. */
export type Block = {
	readonly gateway: string;
	readonly from: number;
	/** When the process was about to continue. */
	readonly to: number;
};

/** A version of weights that the store acknowledged. */
export type NamedVersion = {
	readonly model: string;
	readonly version: number;
	readonly acknowledgedAt: number;
};

/** A configuration that the store acknowledged. */
export type AcknowledgedConfig = {
	readonly version: number;
	/** When the operator sent it, in milliseconds since the Unix epoch. */
	readonly sentAt: number;
	readonly acknowledgedAt: number;
	/** Names of its routes. */
	readonly routes: readonly string[];
	/** Timeout of each route in milliseconds, by its name. */
	readonly timeoutsMs: Readonly<Record<string, number>>;
	/** Its API keys with the client account of each. */
	readonly accounts: Readonly<Record<string, string>>;
};

/** A period in which the store lists a server as leaving or does not list it though it serves. */
export type LeavingPeriod = {
	readonly server: string;
	readonly from: number;
	readonly to: number;
};

/** SIGTERM of a gateway. */
export type PlannedStop = {
	readonly gateway: string;
	readonly at: number;
};

/** SIGHUP of a gateway, after its settings file has changed. */
export type Reload = {
	readonly gateway: string;
	readonly at: number;
};

/** Start of a gateway process, and when it first responded that it is ready. */
export type GatewayStart = {
	readonly gateway: string;
	readonly at: number;
	/** Absent if the process ended before. */
	readonly readyAt?: number;
	/** When the last question whose response was that it is ready was sent; absent if there was none. */
	readonly lastReadyAt?: number;
	/** End of the process or of the run. */
	readonly endedAt: number;
	/** Exit code of the process, -1 if a signal ended it; absent while it runs. */
	readonly exitCode?: number;
};

/** An order to load weights that a server accepted. */
export type AcceptedOrder = {
	readonly server: string;
	/** Name of the gateway that gave it. */
	readonly holder: string;
	readonly fence: number;
	readonly at: number;
};

/** Version that a server held at the end of a run. */
export type FinalVersion = {
	readonly server: string;
	readonly version: number;
};

/** Bounds from the settings of the gateways, in milliseconds. */
export type Bounds = {
	readonly settleWindowMs: number;
	readonly configPropagationMs: number;
	readonly outerBoundMs: number;
	readonly revocationMs: number;
	readonly versionMs: number;
	readonly drainMs: number;
	readonly graceMs: number;
	readonly lossSlackMs: number;
	readonly recoveryMs: number;
	/** Minimum time between orders of two holders. */
	readonly leaseMs: number;
	/** Time after the end of a suspension in which orders of the suspended gateway are excused. */
	readonly thawMs: number;
	readonly retryRatio: number;
	readonly retrySlack: number;
	readonly retryWindowMs: number;
	/** Quota of each client account, in requests, with its tolerance; absent without quotas. */
	readonly quota?: {
		readonly requestsPerSecond: number;
		readonly burst: number;
		readonly windowMs: number;
		readonly overshoot: number;
		/** Requests. */
		readonly slack: number;
	};
};

/** All that clients, servers and the operator saw of a run. */
export type PlatformRecord = {
	readonly bounds: Bounds;
	readonly exchanges: readonly Exchange[];
	readonly executions: readonly Execution[];
	/** None by default. */
	readonly arrivals?: readonly Arrival[];
	readonly starts: readonly Start[];
	/** Model of each engine. */
	readonly models: Readonly<Record<string, string>>;
	readonly disruptions: readonly Disruption[];
	/** Ends of engines on prompts; none by default. */
	readonly crashes?: readonly Crash[];
	readonly versions: readonly NamedVersion[];
	readonly configs: readonly AcknowledgedConfig[];
	readonly leavingPeriods: readonly LeavingPeriod[];
	readonly plannedStops: readonly PlannedStop[];
	/** None by default. */
	readonly reloads?: readonly Reload[];
	/** None by default. */
	readonly silences?: readonly Silence[];
	/** None by default. */
	readonly blocks?: readonly Block[];
	readonly gatewayStarts: readonly GatewayStart[];
	readonly orders: readonly AcceptedOrder[];
	/** Empty until the end of the run. */
	readonly finalVersions: readonly FinalVersion[];
	/** End of the run, or the present time while it lasts. */
	readonly endedAt: number;
};

/** A broken promise; `requestId` is absent if it concerns no single request. */
export type Finding = {
	readonly check: string;
	readonly text: string;
	readonly requestId?: string;
};

/** Returns whether a request may be executed more than once. */
export function isIdempotent(kind: RequestKind): boolean {
	return kind === RequestKind.Safe || kind === RequestKind.Resumable;
}

/** Returns whether a status states that the request was not and will not be executed. */
export function isRefusalStatus(status: number | undefined): boolean {
	return status !== undefined && [408, 421, 429, 503].includes(status);
}

import type * as quota from '../quota/quota.js';

/** Name of a route in the configuration. */
export type RouteName = string;

/** Name of a pool of endpoints in the configuration. */
export type PoolName = string;

/** Whether a route's requests may be retried, and whether their responses are streams. */
export enum RouteKind {
	/** Idempotent; may be executed more than once. */
	Safe = 'safe',
	/** Not idempotent; may be executed at most once. */
	Unsafe = 'unsafe',
	/** The response is a stream of events; idempotent only if the route's streams are resumable. */
	Streaming = 'streaming',
}

/** A pool that serves a route, with its weight among the route's pools. */
export type PoolShare = {
	readonly pool: PoolName;
	readonly weight: number;
};

/** How requests for one host and path prefix are served. */
export type Route = {
	readonly name: RouteName;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly prefix: string;
	readonly kind: RouteKind;
	readonly pools: readonly PoolShare[];
	/** Maximum time until the response is complete, in milliseconds. */
	readonly timeoutMs: number;
	/** Time within which a response has its full value, in milliseconds; for streams, the time until the first event. */
	readonly targetLatencyMs: number;
	/** Priority; 0 is the most urgent. */
	readonly priority: number;
	/** Maximum number of endpoints on which one request may be executed. */
	readonly maxAttempts: number;
	/** Whether requests need no API key. */
	readonly isPublic: boolean;
	/** Whether requests list the cacheable parts of their prompt. */
	readonly namesPromptParts: boolean;
	/** Whether an interrupted stream may be resumed at another endpoint after the last delivered event. */
	readonly isResumable: boolean;
	/** Maximum gap between events of a stream that meets its target, in milliseconds. */
	readonly gapTargetMs: number;
};

/** Properties that all engines of a pool share. */
export type EngineSpec = {
	/** Requests that one engine runs at once. */
	readonly slots: number;
	/** Tokens that fit into an engine's memory, for running requests and cached parts together. */
	readonly memoryTokens: number;
	/** Bytes of cached state per token. */
	readonly bytesPerToken: number;
	/** Bandwidth of an engine's link for cached state, in Mbit/s. */
	readonly linkMbps: number;
	readonly models: readonly string[];
};

/** A pool of endpoints. */
export type Pool = {
	readonly name: PoolName;
	readonly healthPath: string;
	/** Connections that an endpoint accepts from all callers together. */
	readonly connectionLimit: number;
	/** Present if the endpoints are model engines. */
	readonly engine?: EngineSpec;
};

/** A store of cached prompt parts that engines read from and write to. */
export type CacheStore = {
	readonly name: string;
	readonly address: string;
	readonly dataCentre: string;
	readonly capacityTokens: number;
	readonly linkMbps: number;
};

/** Limits on what a caller may send. */
export type CallerLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** A client account and the API keys that it holds. */
export type ApiAccount = {
	readonly name: string;
	readonly keys: readonly string[];
	/** Priority that overrides the priority of the route. */
	readonly priority?: number;
	/** Whether cached state is never shared between this account and others. */
	readonly isIsolated: boolean;
	/** Absent if the account may send any number of requests. */
	readonly quota?: quota.AccountQuota;
};

/** A complete configuration. */
export type GatewayConfig = {
	/** Increases with each accepted configuration, not necessarily by one. */
	readonly version: number;
	readonly routes: readonly Route[];
	readonly pools: readonly Pool[];
	readonly cacheStores: readonly CacheStore[];
	readonly limits: CallerLimits;
	/** Accounts whose API keys are valid. Absent if requests need no API key; an empty list means that no key is valid. */
	readonly accounts?: readonly ApiAccount[];
};

/** Name of a route, from the configuration. */
export type RouteName = string;

/** Name of a pool of endpoints, from the configuration. */
export type PoolName = string;

/** What may be repeated of a route's requests, and how they are answered. */
export enum RouteKind {
	/** Idempotent: may run more than once. */
	Safe = 'safe',
	/** May run at most once. */
	Unsafe = 'unsafe',
	/** Answered by a series of events; idempotent only where the route's streams are resumable. */
	Streaming = 'streaming',
}

/** A pool that serves a route, and its weight among the route's pools. */
export type PoolShare = {
	readonly pool: PoolName;
	readonly weight: number;
};

/** How requests of one host and path prefix are served. */
export type Route = {
	readonly name: RouteName;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly prefix: string;
	readonly kind: RouteKind;
	readonly pools: readonly PoolShare[];
	/** Longest time until the final answer, in milliseconds. */
	readonly timeoutMs: number;
	/** Time within which an answer has its full value, in milliseconds; for streams, until the first event. */
	readonly targetLatencyMs: number;
	/** Rank; 0 is the most urgent. */
	readonly priority: number;
	/** Endpoints on which one request may run. */
	readonly maxAttempts: number;
	/** Whether requests need no API key. */
	readonly isPublic: boolean;
	/** Whether requests name the cacheable parts of their prompt. */
	readonly namesPromptParts: boolean;
	/** Whether an interrupted stream may go on at another endpoint after the last delivered event. */
	readonly isResumable: boolean;
	/** Longest pause between events with which a stream counts as in time, in milliseconds. */
	readonly gapTargetMs: number;
};

/** What the engines of a pool have in common. */
export type EngineSpec = {
	/** Requests that run at once in one engine. */
	readonly slots: number;
	/** Tokens that fit into an engine's memory, of running requests and cached parts together. */
	readonly memoryTokens: number;
	/** Bytes of cached state for each token. */
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
	/** Present where the endpoints are model engines. */
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

/** Bounds on what a caller may send. */
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
	/** Rank that replaces the rank of a route. */
	readonly priority?: number;
	/** Whether no other account may use cached state that this account's requests made, nor the reverse. */
	readonly isIsolated: boolean;
};

/** One whole configuration. */
export type GatewayConfig = {
	/** Grows with each accepted configuration, in uneven steps. */
	readonly version: number;
	readonly routes: readonly Route[];
	readonly pools: readonly Pool[];
	readonly cacheStores: readonly CacheStore[];
	readonly limits: CallerLimits;
	/** Empty where no request needs a key. */
	readonly accounts: readonly ApiAccount[];
};

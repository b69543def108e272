import type * as ids from './ids.js';

/** What stands behind a service. */
export enum ServiceType {
	/** Model engines. */
	Engine = 'engine',
	/** A plain HTTP service. */
	Plain = 'plain',
	/** A store of kept KV cache. */
	CacheStore = 'cache_store',
}

/** Matches calls of a plain service to a request kind. */
export type ServiceRule = {
	/** HTTP method in upper case, or `*`. */
	readonly method: string;
	/** Path prefix below the service, starting with `/`. */
	readonly pathPrefix: string;
	/** Name of the request kind. */
	readonly kind: string;
};

/** A pool of endpoints. */
export type Service = {
	readonly id: ids.ServiceId;
	readonly type: ServiceType;
	/** Models that the engines of the pool can load; empty for other types. */
	readonly models: readonly ids.ModelId[];
	/** For plain services: the first matching rule gives the kind of a call. */
	readonly rules: readonly ServiceRule[];
	/** Kind of a call that no rule matches. */
	readonly defaultKind: string;
	/** Weight loads that may run at once before the weight store slows. */
	readonly maxConcurrentLoads: number;
};

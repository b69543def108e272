import type * as ids from './ids.js';

/** Type of the endpoints of a service. */
export enum ServiceType {
	/** Engines that run models. */
	Engine = 'engine',
	/** Any HTTP service that runs no models. */
	Plain = 'plain',
	/** A store for KV caches. */
	CacheStore = 'cache_store',
}

/** Rule that assigns a request kind to calls of a plain service. */
export type ServiceRule = {
	/** HTTP method in upper case, or `*`. */
	readonly method: string;
	/** Path prefix below the service, starting with `/`. */
	readonly pathPrefix: string;
	/** ID of the request kind. */
	readonly kind: string;
};

/** A service: a pool of endpoints of one type. */
export type Service = {
	readonly id: ids.ServiceId;
	readonly type: ServiceType;
	/** Models that the engines of the service can load; empty for other types. */
	readonly models: readonly ids.ModelId[];
	/** For plain services: the first matching rule determines the request kind of a call. */
	readonly rules: readonly ServiceRule[];
	/** Request kind of a call that no rule matches. */
	readonly defaultKind: string;
	/** Maximum number of concurrent weight loads; more would slow down the weight store. */
	readonly maxConcurrentLoads: number;
};

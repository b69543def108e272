/** Options of a concurrency limit. */
export type ConcurrencyOptions = {
	/** Requests that may queue at the endpoints before the limit is decreased, as a share of the pool's capacity. */
	readonly queueShare: number;
	/** Factor by which the limit is decreased. */
	readonly decrease: number;
	/** Shortest time between two decreases, in milliseconds; longer than the delay of load reports. */
	readonly decreaseIntervalMs: number;
	/** Maximum limit as a multiple of the pool's capacity. */
	readonly maxShare: number;
};

/** Creates options from the defaults and the given changes. */
export function createConcurrencyOptions(changes: Partial<ConcurrencyOptions> = {}): ConcurrencyOptions {
	return {
		queueShare: 0.25, decrease: 0.9, decreaseIntervalMs: 500, maxShare: 1.5, ...changes,
	};
}

/**
 * Limit on one router's requests in flight at a pool, with additive increase and multiplicative decrease. It is decreased while
 * the pool's endpoints report queued requests, and increased while they report none and the router uses most of its limit.
 */
export type ConcurrencyLimit = {
	readonly options: ConcurrencyOptions;
	/** Number of requests in flight; fractions accumulate and are rounded down for admission. */
	readonly limit: number;
	/** Requests that the pool processes at once without queueing. */
	readonly capacity: number;
	/** Number of routers that share the pool. */
	readonly routers: number;
	readonly lastDecreaseAt: number;
};

/** Load of a pool: the sum of its endpoints' latest reports. */
export type PoolLoad = {
	readonly running: number;
	readonly queued: number;
};

function evenShare(capacity: number, routers: number): number {
	return capacity / Math.max(1, routers);
}

function clampLimit(limit: ConcurrencyLimit): ConcurrencyLimit {
	const {options, capacity, routers} = limit;
	const lowerBound = Math.max(1, evenShare(capacity, routers) / 4);
	return {...limit, limit: Math.max(lowerBound, Math.min(limit.limit, Math.max(1, capacity * options.maxShare)))};
}

/** Creates a limit that starts at the router's even share of the pool plus `queueShare`. */
export function createConcurrencyLimit(
	capacity: number,
	routers: number,
	options: ConcurrencyOptions = createConcurrencyOptions(),
): ConcurrencyLimit {
	const limit = evenShare(capacity, routers) * (1 + options.queueShare);
	return clampLimit({
		options, limit, capacity, routers, lastDecreaseAt: -Infinity,
	});
}

/** Scales the limit to a new capacity of the pool or number of routers. */
export function resizeLimit(limit: ConcurrencyLimit, capacity: number, routers: number): ConcurrencyLimit {
	if (capacity === limit.capacity && routers === limit.routers) {
		return limit;
	}

	const before = evenShare(limit.capacity, limit.routers);
	const factor = before > 0 ? evenShare(capacity, routers) / before : 1;
	return clampLimit({
		...limit, capacity, routers, limit: limit.limit * factor,
	});
}

/** Returns whether more requests are queued at the pool's endpoints than `queueShare` allows. */
export function isPoolQueueing(limit: ConcurrencyLimit, load: PoolLoad): boolean {
	return load.queued > limit.capacity * limit.options.queueShare;
}

/** Adapts the limit to a new load report of the pool and this router's number of requests in flight there. */
export function adaptLimit(limit: ConcurrencyLimit, load: PoolLoad, inFlight: number, now: number): ConcurrencyLimit {
	const {options} = limit;
	if (isPoolQueueing(limit, load)) {
		return now < limit.lastDecreaseAt + options.decreaseIntervalMs
			? limit
			: clampLimit({...limit, limit: limit.limit * options.decrease, lastDecreaseAt: now});
	}

	const step = Math.max(0.25, evenShare(limit.capacity, limit.routers) / 20);
	return inFlight >= limit.limit * 0.8 ? clampLimit({...limit, limit: limit.limit + step}) : limit;
}

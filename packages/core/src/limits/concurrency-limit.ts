/** Bounds of a concurrency limit. */
export type ConcurrencyOptions = {
	/** Share of the pool's capacity that may queue at its endpoints before the limit falls. */
	readonly queueShare: number;
	/** Factor by which the limit falls. */
	readonly decrease: number;
	/** Shortest time between two falls; longer than the lag of load reports. */
	readonly decreaseIntervalMs: number;
	/** Largest limit as a multiple of the pool's capacity. */
	readonly maxShare: number;
};

/** Creates the terms from their defaults and the given changes. */
export function createConcurrencyOptions(changes: Partial<ConcurrencyOptions> = {}): ConcurrencyOptions {
	return {
		queueShare: 0.25, decrease: 0.9, decreaseIntervalMs: 500, maxShare: 1.5, ...changes,
	};
}

/**
 * Requests that one router may have under way at a pool. It follows the load that the pool's endpoints report:
 * it falls by a factor while they queue, and rises by steps while they do not and the router uses it.
 */
export type ConcurrencyLimit = {
	readonly options: ConcurrencyOptions;
	/** Requests; a fraction counts once it is whole. */
	readonly limit: number;
	/** Requests that the pool works on at once without queueing. */
	readonly capacity: number;
	/** Routers that share the pool. */
	readonly routers: number;
	readonly lastDecreaseAt: number;
};

/** Load of a pool, summed over its endpoints' latest reports. */
export type PoolLoad = {
	readonly running: number;
	readonly queued: number;
};

function evenShare(capacity: number, routers: number): number {
	return capacity / Math.max(1, routers);
}

function clampLimit(limit: ConcurrencyLimit): ConcurrencyLimit {
	const {options: terms, capacity, routers} = limit;
	const lowest = Math.max(1, evenShare(capacity, routers) / 4);
	return {...limit, limit: Math.max(lowest, Math.min(limit.limit, Math.max(1, capacity * terms.maxShare)))};
}

/** Creates a limit at the router's even part of the pool. */
export function createConcurrencyLimit(
	capacity: number,
	routers: number,
	terms: ConcurrencyOptions = createConcurrencyOptions(),
): ConcurrencyLimit {
	const limit = evenShare(capacity, routers) * (1 + terms.queueShare);
	return clampLimit({
		options: terms, limit, capacity, routers, lastDecreaseAt: -Infinity,
	});
}

/** Follows a change of the pool's capacity or of the number of routers. */
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

/** Returns whether the reported load is more than the pool should hold. */
export function isPoolQueueing(limit: ConcurrencyLimit, load: PoolLoad): boolean {
	return load.queued > limit.capacity * limit.options.queueShare;
}

/** Takes a new load report of the pool, with the requests that this router has under way there. */
export function adaptLimit(limit: ConcurrencyLimit, load: PoolLoad, underWay: number, now: number): ConcurrencyLimit {
	const {options: terms} = limit;
	if (isPoolQueueing(limit, load)) {
		return now < limit.lastDecreaseAt + terms.decreaseIntervalMs
			? limit
			: clampLimit({...limit, limit: limit.limit * terms.decrease, lastDecreaseAt: now});
	}

	const step = Math.max(0.25, evenShare(limit.capacity, limit.routers) / 20);
	return underWay >= limit.limit * 0.8 ? clampLimit({...limit, limit: limit.limit + step}) : limit;
}

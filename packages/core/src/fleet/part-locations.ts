import * as cacheObservation from './cache-observation.js';

type PartLocation = {
	readonly endpoint: string;
	readonly observedAt: number;
};

type Part = {
	/** Endpoints that were recently sent the part, most recent last. */
	locations: readonly PartLocation[];
	/** When the part was last known to be in the cache store; `-Infinity` when it is not. */
	storedAt: number;
};

/** Options of the tracked parts. */
export type PartLocationsOptions = {
	/** How long a part is expected to stay in an endpoint's cache after its last use, in milliseconds. */
	readonly engineLifetimeMs: number;
	/** How long a part is expected to stay in the cache store without an observation, in milliseconds. */
	readonly storeLifetimeMs: number;
	/** How long the cache store is not used after it failed to respond, in milliseconds. */
	readonly storeRetryDelayMs: number;
	/** Maximum number of tracked parts. */
	readonly maxParts: number;
};

/**
 * At the rates of the data sheets an engine replaces its whole cache in about seven seconds. The cache store reports
 * evictions, so its lifetime matters only when reports are lost. The number of parts keeps memory use below 4 MB.
 */
export const defaultPartLocationsOptions: PartLocationsOptions = {
	engineLifetimeMs: 6000, storeLifetimeMs: 40_000, storeRetryDelayMs: 2500, maxParts: 10_000,
};

/** Tracks where prompt parts are cached, by the observations of this VM and the others. */
export class PartLocations {
	/** Least recently updated part first. */
	readonly #parts = new Map<string, Part>();
	#storeDownAt = -Infinity;

	constructor(private readonly options: PartLocationsOptions = defaultPartLocationsOptions) {}

	/** Applies an observation of this VM or another. */
	applyObservation(observation: cacheObservation.CacheObservation, now: number): void {
		switch (observation.type) {
			case cacheObservation.CacheObservationType.Sent: {
				this.#addLocation(observation, now, false);
				break;
			}

			case cacheObservation.CacheObservationType.Computed: {
				this.#addLocation(observation, now, true);
				break;
			}

			case cacheObservation.CacheObservationType.Stored: {
				this.#update(observation.key, {storedAt: now});
				break;
			}

			case cacheObservation.CacheObservationType.Evicted: {
				this.#update(observation.key, {storedAt: -Infinity});
				break;
			}

			case cacheObservation.CacheObservationType.StoreReset: {
				this.#clearStored();
				break;
			}

			case cacheObservation.CacheObservationType.StoreDown: {
				this.#storeDownAt = now;
				break;
			}
		}
	}

	/** Returns whether an endpoint is expected to have a part in its cache. */
	isCached(key: string, endpoint: string, now: number): boolean {
		const locations = this.#parts.get(key)?.locations ?? [];
		return locations.some(location => location.endpoint === endpoint && now - location.observedAt < this.options.engineLifetimeMs);
	}

	/** Returns the milliseconds since a part was last known to be in the cache store; `Infinity` when it is not expected there. */
	storedAgeMs(key: string, now: number): number {
		const ageMs = now - (this.#parts.get(key)?.storedAt ?? -Infinity);
		return ageMs < this.options.storeLifetimeMs ? ageMs : Infinity;
	}

	/** Returns whether the cache store may be used; a store that is down delays each request that fetches from it. */
	isStoreUsable(now: number): boolean {
		return now - this.#storeDownAt >= this.options.storeRetryDelayMs;
	}

	#addLocation({key, endpoint}: cacheObservation.CacheObservation, now: number, isComputed: boolean): void {
		const others = (this.#parts.get(key)?.locations ?? [])
			.filter(location => location.endpoint !== endpoint && now - location.observedAt < this.options.engineLifetimeMs);
		this.#update(key, {locations: [...others, {endpoint, observedAt: now}], ...(isComputed && {storedAt: now})});
	}

	#update(key: string, changes: Partial<Part>): void {
		const known = this.#parts.get(key) ?? {locations: [], storedAt: -Infinity};
		this.#parts.delete(key);
		this.#parts.set(key, {...known, ...changes});
		if (this.#parts.size > this.options.maxParts) {
			const [oldest] = this.#parts.keys();
			this.#parts.delete(oldest!);
		}
	}

	#clearStored(): void {
		for (const part of this.#parts.values()) {
			part.storedAt = -Infinity;
		}
	}
}

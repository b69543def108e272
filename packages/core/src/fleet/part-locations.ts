import * as cacheObservation from './cache-observation.js';

type PartLocation = {
	readonly endpoint: string;
	readonly observedAt: number;
};

type Part = {
	/** Endpoints that were sent the part lately, latest last. */
	locations: readonly PartLocation[];
	/** When the part was last known to be in the cache store. */
	storedAt: number;
};

/** Bounds of the memory of parts. */
export type PartLocationsOptions = {
	/** How long a part is expected to stay in an endpoint's cache after its last use, in milliseconds. */
	readonly engineLifetimeMs: number;
	/** How long a part is expected to stay in the cache store without news of it, in milliseconds. */
	readonly storeLifetimeMs: number;
	/** How long the cache store is not used after it did not answer, in milliseconds. */
	readonly storeRetryDelayMs: number;
	/** Parts that are remembered. */
	readonly maxParts: number;
};

/**
 * At the rates of the sheets an engine reads its whole memory anew in about seven seconds; evictions from the cache store
 * are told, so only lost news let a part outlive its place there; the number of parts keeps the memory below 4 MB.
 */
export const defaultPartLocationsOptions: PartLocationsOptions = {
	engineLifetimeMs: 6000, storeLifetimeMs: 40_000, storeRetryDelayMs: 2500, maxParts: 10_000,
};

/** Remembers where prompt parts are cached, by signs of this VM and the others. */
export class PartLocations {
	/** Least recently noted part first. */
	readonly #parts = new Map<string, Part>();
	#storeDownAt = -Infinity;

	constructor(private readonly terms: PartLocationsOptions = defaultPartLocationsOptions) {}

	/** Takes a sign. */
	applyObservation(sign: cacheObservation.CacheObservation, now: number): void {
		switch (sign.type) {
			case cacheObservation.CacheObservationType.Sent: {
				this.#addLocation(sign, now, false);
				break;
			}

			case cacheObservation.CacheObservationType.Computed: {
				this.#addLocation(sign, now, true);
				break;
			}

			case cacheObservation.CacheObservationType.Stored: {
				this.#update(sign.key, {storedAt: now});
				break;
			}

			case cacheObservation.CacheObservationType.Evicted: {
				this.#update(sign.key, {storedAt: -Infinity});
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

	/** Whether an endpoint is expected to have a part in its cache. */
	isCached(key: string, endpoint: string, now: number): boolean {
		const places = this.#parts.get(key)?.locations ?? [];
		return places.some(place => place.endpoint === endpoint && now - place.observedAt < this.terms.engineLifetimeMs);
	}

	/** Milliseconds since a part was last known to be in the cache store; infinite where it is not expected there. */
	storedAgeMs(key: string, now: number): number {
		const ageMs = now - (this.#parts.get(key)?.storedAt ?? -Infinity);
		return ageMs < this.terms.storeLifetimeMs ? ageMs : Infinity;
	}

	/** Whether the cache store may be used: a dead one holds up each request that fetches from it. */
	isStoreUsable(now: number): boolean {
		return now - this.#storeDownAt >= this.terms.storeRetryDelayMs;
	}

	#addLocation({key, endpoint}: cacheObservation.CacheObservation, now: number, isComputed: boolean): void {
		const others = (this.#parts.get(key)?.locations ?? [])
			.filter(place => place.endpoint !== endpoint && now - place.observedAt < this.terms.engineLifetimeMs);
		this.#update(key, {locations: [...others, {endpoint, observedAt: now}], ...(isComputed && {storedAt: now})});
	}

	#update(key: string, changes: Partial<Part>): void {
		const known = this.#parts.get(key) ?? {locations: [], storedAt: -Infinity};
		this.#parts.delete(key);
		this.#parts.set(key, {...known, ...changes});
		if (this.#parts.size > this.terms.maxParts) {
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

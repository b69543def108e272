import * as cacheSign from './cache-sign.js';

type Place = {
	readonly endpoint: string;
	readonly at: number;
};

type Part = {
	/** Endpoints that were sent the part lately, latest last. */
	places: readonly Place[];
	/** When the part was last known to be in the cache store. */
	storedAt: number;
};

/** Bounds of the memory of parts. */
export type PartPlacesTerms = {
	/** How long a part is expected to stay in an endpoint's cache after its last use, in milliseconds. */
	readonly cachedMs: number;
	/** How long a part is expected to stay in the cache store without news of it, in milliseconds. */
	readonly storedMs: number;
	/** How long the cache store is not used after it did not answer, in milliseconds. */
	readonly storeDownMs: number;
	/** Parts that are remembered. */
	readonly maxParts: number;
};

/**
 * At the rates of the sheets an engine reads its whole memory anew in about seven seconds; evictions from the cache store
 * are told, so only lost news let a part outlive its place there; the number of parts keeps the memory below 4 MB.
 */
export const defaultPartPlacesTerms: PartPlacesTerms = {
	cachedMs: 6000, storedMs: 40_000, storeDownMs: 2500, maxParts: 10_000,
};

/** Remembers where prompt parts are cached, by signs of this VM and the others. */
export class PartPlaces {
	/** Least recently noted part first. */
	readonly #parts = new Map<string, Part>();
	#storeDownAt = -Infinity;

	constructor(private readonly terms: PartPlacesTerms = defaultPartPlacesTerms) {}

	/** Takes a sign. */
	note(sign: cacheSign.CacheSign, now: number): void {
		switch (sign.type) {
			case cacheSign.CacheSignType.Sent: {
				this.#notePlace(sign, now, false);
				break;
			}

			case cacheSign.CacheSignType.Computed: {
				this.#notePlace(sign, now, true);
				break;
			}

			case cacheSign.CacheSignType.Stored: {
				this.#update(sign.key, {storedAt: now});
				break;
			}

			case cacheSign.CacheSignType.Evicted: {
				this.#update(sign.key, {storedAt: -Infinity});
				break;
			}

			case cacheSign.CacheSignType.StoreReset: {
				this.#forgetStored();
				break;
			}

			case cacheSign.CacheSignType.StoreDown: {
				this.#storeDownAt = now;
				break;
			}
		}
	}

	/** Whether an endpoint is expected to have a part in its cache. */
	isCached(key: string, endpoint: string, now: number): boolean {
		const places = this.#parts.get(key)?.places ?? [];
		return places.some(place => place.endpoint === endpoint && now - place.at < this.terms.cachedMs);
	}

	/** Milliseconds since a part was last known to be in the cache store; infinite where it is not expected there. */
	storedForMs(key: string, now: number): number {
		const ageMs = now - (this.#parts.get(key)?.storedAt ?? -Infinity);
		return ageMs < this.terms.storedMs ? ageMs : Infinity;
	}

	/** Whether the cache store may be used: a dead one holds up each request that fetches from it. */
	isStoreUsable(now: number): boolean {
		return now - this.#storeDownAt >= this.terms.storeDownMs;
	}

	#notePlace({key, endpoint}: cacheSign.CacheSign, now: number, isComputed: boolean): void {
		const others = (this.#parts.get(key)?.places ?? [])
			.filter(place => place.endpoint !== endpoint && now - place.at < this.terms.cachedMs);
		this.#update(key, {places: [...others, {endpoint, at: now}], ...(isComputed && {storedAt: now})});
	}

	#update(key: string, changes: Partial<Part>): void {
		const known = this.#parts.get(key) ?? {places: [], storedAt: -Infinity};
		this.#parts.delete(key);
		this.#parts.set(key, {...known, ...changes});
		if (this.#parts.size > this.terms.maxParts) {
			const [oldest] = this.#parts.keys();
			this.#parts.delete(oldest!);
		}
	}

	#forgetStored(): void {
		for (const part of this.#parts.values()) {
			part.storedAt = -Infinity;
		}
	}
}

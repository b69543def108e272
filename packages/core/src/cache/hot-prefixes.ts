/** Options of {@link HotPrefixes}. */
export type HotPrefixOptions = {
	/** Maximum number of counted keys; keys with low counts are evicted. Default 8192. */
	readonly capacity?: number;
	/** Time in which a count decays to 1/e, in milliseconds. Default 20000. */
	readonly decayMs?: number;
	/** Decayed count from which a key counts as shared. Default 2.5. */
	readonly minSharedCount?: number;
	/** Factor on the number of homes that follows from the measured share of requests. Default 1.25. */
	readonly headroom?: number;
	/** How far the required number of homes must exceed the current one before it is raised. Default 0.1. */
	readonly riseMargin?: number;
	/** How far the required number of homes must fall below the current one before it is lowered. Default 1.4. */
	readonly fallMargin?: number;
};

type Counter = {
	count: number;
	/** Time for which the count is valid, in milliseconds. */
	updatedAt: number;
	/** Last number of homes, for hysteresis. */
	homes: number;
	/** Key of the piece for the weights that were used last; absent until set by `setPieceKeys`. */
	pieceKey?: string;
};

const evictionSampleSize = 12;

/**
 * Request rates of prefix pieces, measured by decaying counters in bounded memory, and the number of home endpoints of each piece.
 * The number of homes follows from a key's share of this router's requests. A load balancer distributes requests evenly, so all
 * routers measure nearly the same share without communication, regardless of their number.
 */
export class HotPrefixes {
	readonly #capacity: number;
	readonly #decayMs: number;
	readonly #minSharedCount: number;
	readonly #headroom: number;
	readonly #riseMargin: number;
	readonly #fallMargin: number;
	readonly #counters = new Map<string, Counter>();
	readonly #total: Counter = {count: 0, updatedAt: 0, homes: 1};

	constructor(options: HotPrefixOptions = {}) {
		this.#capacity = options.capacity ?? 8192;
		this.#decayMs = options.decayMs ?? 20_000;
		this.#minSharedCount = options.minSharedCount ?? 2.5;
		this.#headroom = options.headroom ?? 1.25;
		this.#riseMargin = options.riseMargin ?? 0.1;
		this.#fallMargin = options.fallMargin ?? 1.4;
	}

	/** Number of keys that are counted. */
	get size(): number {
		return this.#counters.size;
	}

	/** Counts one request for each key of its prefix. */
	record(homeKeys: readonly string[], now: number): void {
		this.#increment(this.#total, 1, now);
		for (const key of homeKeys) {
			this.#increment(this.#counterOf(key, now), 1, now);
		}
	}

	/** Sets the piece keys that correspond to the home keys for the weights in use. */
	setPieceKeys(homeKeys: readonly string[], pieceKeys: readonly string[]): void {
		for (const [index, homeKey] of homeKeys.entries()) {
			const counter = this.#counters.get(homeKey);
			if (counter !== undefined) {
				counter.pieceKey = pieceKeys[index];
			}
		}
	}

	/** Returns the decayed count of a key; 0 if it is not counted. */
	countOf(key: string, now: number): number {
		const counter = this.#counters.get(key);
		return counter === undefined ? 0 : this.#decayedCount(counter, now);
	}

	/** Returns the share of this router's requests whose prefix contains a key, 0 to 1. */
	shareOf(key: string, now: number): number {
		const total = this.#decayedCount(this.#total, now);
		return total <= 0 ? 0 : Math.min(1, this.countOf(key, now) / total);
	}

	/** Returns the number of home endpoints of a key in a pool with `endpoints` endpoints; at least 1. */
	homeCount(key: string, endpoints: number, now: number): number {
		const counter = this.#counters.get(key);
		if (counter === undefined || this.#decayedCount(counter, now) < this.#minSharedCount) {
			return 1;
		}

		const required = this.shareOf(key, now) * endpoints * this.#headroom;
		if (required > counter.homes + this.#riseMargin || required < counter.homes - this.#fallMargin) {
			counter.homes = Math.max(1, Math.min(endpoints, Math.ceil(required - this.#riseMargin)));
		}

		return Math.min(counter.homes, Math.max(1, endpoints));
	}

	/**
	 * Returns the indexes of the pieces at which a level of a prefix begins: the first piece, and each piece that fewer requests share
	 * than the piece before it, up to the first piece that no other request is known to share.
	 */
	levels(homeKeys: readonly string[], now: number): number[] {
		if (homeKeys.length === 0) {
			return [];
		}

		const levels = [0];
		let count = this.countOf(homeKeys[0]!, now);
		for (let index = 1; index < homeKeys.length && count >= this.#minSharedCount; index++) {
			const next = this.countOf(homeKeys[index]!, now);
			if (next < count * 0.95) {
				levels.push(index);
			}

			count = next;
		}

		return levels;
	}

	/** Returns the keys with the highest counts, highest first. */
	hottest(limit: number, now: number): string[] {
		return this.#hottestEntries(limit, now).map(([key]) => key);
	}

	/** Returns the piece keys, as set by `setPieceKeys`, of the keys with the highest counts, highest first. */
	hottestPieces(limit: number, now: number): string[] {
		return this.#hottestEntries(limit, now)
			.map(([, counter]) => counter.pieceKey)
			.filter(pieceKey => pieceKey !== undefined);
	}

	#hottestEntries(limit: number, now: number): Array<[string, Counter]> {
		return [...this.#counters]
			.filter(([, counter]) => this.#decayedCount(counter, now) >= this.#minSharedCount)
			.sort(([leftKey, left], [rightKey, right]) =>
				this.#decayedCount(right, now) - this.#decayedCount(left, now) || (leftKey < rightKey ? -1 : 1))
			.slice(0, limit);
	}

	#counterOf(key: string, now: number): Counter {
		const known = this.#counters.get(key);
		if (known !== undefined) {
			return known;
		}

		if (this.#counters.size >= this.#capacity) {
			this.#evictColdest(now);
		}

		const created = {count: 0, updatedAt: now, homes: 1};
		this.#counters.set(key, created);
		return created;
	}

	/** Evicts the key with the lowest count from a sample at the front of the map; moves the other sampled keys to its end. */
	#evictColdest(now: number): void {
		const sample: Array<[string, Counter]> = [];
		for (const entry of this.#counters) {
			sample.push(entry);
			if (sample.length >= evictionSampleSize) {
				break;
			}
		}

		let coldest = sample[0]!;
		for (const entry of sample) {
			if (this.#decayedCount(entry[1], now) < this.#decayedCount(coldest[1], now)) {
				coldest = entry;
			}
		}

		for (const [key, counter] of sample) {
			this.#counters.delete(key);
			if (key !== coldest[0]) {
				this.#counters.set(key, counter);
			}
		}
	}

	#increment(counter: Counter, by: number, now: number): void {
		counter.count = this.#decayedCount(counter, now) + by;
		counter.updatedAt = Math.max(now, counter.updatedAt);
	}

	#decayedCount(counter: Counter, now: number): number {
		const age = Math.max(0, now - counter.updatedAt);
		return counter.count * Math.exp(-age / this.#decayMs);
	}
}

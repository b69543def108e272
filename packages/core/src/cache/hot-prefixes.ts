/** Options of the rate counters. */
export type HotPrefixOptions = {
	/** Keys that are counted; the coldest make room. Default 8192. */
	readonly capacity?: number;
	/** Time in which a count falls to 1/e, in milliseconds. Default 20000. */
	readonly decayMs?: number;
	/** Decayed count from which a key counts as shared. Default 2.5. */
	readonly minSharedCount?: number;
	/** Homes for each endpoint that the measured share of requests alone would fill. Default 1.25. */
	readonly headroom?: number;
	/** Homes above the present number that the share must ask for before one more is given. Default 0.1. */
	readonly riseMargin?: number;
	/** Homes below the present number that the share must fall to before one is taken. Default 1.4. */
	readonly fallMargin?: number;
};

type Counter = {
	count: number;
	/** Time of the count. */
	updatedAt: number;
	/** Homes given last, for hysteresis. */
	homes: number;
	/** Key of the piece on the weights that were used last; absent until noted. */
	pieceKey?: string;
};

const evictionSample = 12;

/**
 * Rates of prefix pieces by decaying counters in bounded memory, and the number of homes that follows from them.
 * Homes follow from a key's share of this router's requests. A balancer spreads requests evenly, so that all
 * routers find nearly the same share without talking, whatever their number.
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

	/** Counts one request by the keys of its prefix. */
	record(homeKeys: readonly string[], now: number): void {
		this.#increment(this.#total, 1, now);
		for (const key of homeKeys) {
			this.#increment(this.#counterOf(key, now), 1, now);
		}
	}

	/** Notes which pieces stand for the keys on the weights in use. */
	notePieces(homeKeys: readonly string[], pieceKeys: readonly string[]): void {
		for (const [index, homeKey] of homeKeys.entries()) {
			const counter = this.#counters.get(homeKey);
			if (counter !== undefined) {
				counter.pieceKey = pieceKeys[index];
			}
		}
	}

	/** Returns the decayed count of a key, 0 when it is not counted. */
	countOf(key: string, now: number): number {
		const counter = this.#counters.get(key);
		return counter === undefined ? 0 : this.#decayedCount(counter, now);
	}

	/** Returns the share of this router's requests that carry a key, 0 to 1. */
	shareOf(key: string, now: number): number {
		const total = this.#decayedCount(this.#total, now);
		return total <= 0 ? 0 : Math.min(1, this.countOf(key, now) / total);
	}

	/** Returns the number of homes of a key in a pool of `endpoints`; at least 1. */
	homeCount(key: string, endpoints: number, now: number): number {
		const counter = this.#counters.get(key);
		if (counter === undefined || this.#decayedCount(counter, now) < this.#minSharedCount) {
			return 1;
		}

		const wanted = this.shareOf(key, now) * endpoints * this.#headroom;
		if (wanted > counter.homes + this.#riseMargin || wanted < counter.homes - this.#fallMargin) {
			counter.homes = Math.max(1, Math.min(endpoints, Math.ceil(wanted - this.#riseMargin)));
		}

		return Math.min(counter.homes, Math.max(1, endpoints));
	}

	/**
	 * Returns the indexes of the pieces that begin a level of a prefix: the first piece, each piece after which fewer
	 * requests share, and last the first piece that no other request is known to share.
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

	/** Returns the noted pieces of the keys with the highest counts, highest first. */
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

	/** Drops the coldest of the keys that have been in the map for longest; the others of the sample go to its end. */
	#evictColdest(now: number): void {
		const sample: Array<[string, Counter]> = [];
		for (const entry of this.#counters) {
			sample.push(entry);
			if (sample.length >= evictionSample) {
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

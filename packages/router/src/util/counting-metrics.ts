import type * as metrics from './metrics.js';

/** Largest number of counters; tags hold names of accounts and services, which come and go. */
const maxCounters = 4096;

/** Keeps the counters in memory for the router's status, and forwards all metrics to another sink if there is one. */
export class CountingMetrics implements metrics.Metrics {
	readonly #counters = new Map<string, number>();
	readonly #next: metrics.Metrics | undefined;

	constructor(next?: metrics.Metrics) {
		this.#next = next;
	}

	increment(name: string, by = 1, tags: Readonly<Record<string, string>> = {}): void {
		const key = [name, ...Object.values(tags)].join('.');
		const value = (this.#counters.get(key) ?? 0) + by;
		// The counter that was incremented last becomes the last one of the map.
		this.#counters.delete(key);
		this.#counters.set(key, value);
		if (this.#counters.size > maxCounters) {
			const [oldest] = this.#counters.keys();
			this.#counters.delete(oldest!);
		}

		this.#next?.increment(name, by, tags);
	}

	gauge(name: string, value: number, tags: Readonly<Record<string, string>> = {}): void {
		this.#next?.gauge(name, value, tags);
	}

	timing(name: string, durationMs: number, tags: Readonly<Record<string, string>> = {}): void {
		this.#next?.timing(name, durationMs, tags);
	}

	/** Returns all counters by key: the name and the tag values, joined with dots. */
	counters(): Readonly<Record<string, number>> {
		return Object.fromEntries(this.#counters);
	}
}

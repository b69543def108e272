/** Time for which the result of a search is used, in milliseconds: that between two checks whether waiting requests have capacity. */
const lifetimeMs = 20;

/**
 * Searches for an endpoint that have just found none, so that of many requests at one silent endpoint not each one searches in vain. They are
 * forgotten when an attempt ends, since that may have freed capacity or a connection.
 */
export class FailedSearches {
	readonly #keys = new Set<string>();
	/** When the oldest search was made, in milliseconds of the monotonic clock. */
	#startedAt = -Infinity;

	/** Returns whether a search has just found nothing for all requests with the same key. */
	has(key: string, now: number): boolean {
		return now - this.#startedAt < lifetimeMs && this.#keys.has(key);
	}

	/** Records that a search found nothing for any request with the key. */
	add(key: string, now: number): void {
		if (now - this.#startedAt >= lifetimeMs) {
			this.#keys.clear();
			this.#startedAt = now;
		}

		this.#keys.add(key);
	}

	/** Forgets all searches. */
	clear(): void {
		this.#keys.clear();
		this.#startedAt = -Infinity;
	}
}

/** A lease. */
type Lease = {
	readonly ttlSeconds: number;
	expiresAt: number;
};

const millisecondsPerSecond = 1000;

/** Leases with their ends. */
export class LeaseTable {
	readonly #leases = new Map<string, Lease>();
	#lastId = 0;

	/** Grants a lease and returns its id. */
	grant(ttlSeconds: number, now: number): string {
		this.#lastId += 1;
		const id = String(this.#lastId);
		this.#leases.set(id, {ttlSeconds, expiresAt: now + (ttlSeconds * millisecondsPerSecond)});
		return id;
	}

	/** Returns whether a lease stands. */
	has(id: string): boolean {
		return this.#leases.has(id);
	}

	/** Extends a lease; returns its time to live in seconds, or 0 when it is gone. */
	keepAlive(id: string, now: number): number {
		const lease = this.#leases.get(id);
		if (!lease) {
			return 0;
		}

		lease.expiresAt = now + (lease.ttlSeconds * millisecondsPerSecond);
		return lease.ttlSeconds;
	}

	/** Ends a lease; returns false when it is gone. */
	revoke(id: string): boolean {
		return this.#leases.delete(id);
	}

	/** Removes the leases that have ended, and returns their ids. */
	removeExpired(now: number): string[] {
		const expiredIds = [...this.#leases].filter(([, lease]) => lease.expiresAt <= now).map(([id]) => id);
		for (const id of expiredIds) {
			this.#leases.delete(id);
		}

		return expiredIds;
	}
}

type Lease = {
	readonly ttlSeconds: number;
	expiresAt: number;
};

const millisecondsPerSecond = 1000;

/** Leases with their expiry times; times are in milliseconds since the Unix epoch. */
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

	/** Returns whether a lease exists. */
	has(id: string): boolean {
		return this.#leases.has(id);
	}

	/** Renews a lease and returns its time to live in seconds, or 0 when it does not exist. */
	keepAlive(id: string, now: number): number {
		const lease = this.#leases.get(id);
		if (!lease) {
			return 0;
		}

		lease.expiresAt = now + (lease.ttlSeconds * millisecondsPerSecond);
		return lease.ttlSeconds;
	}

	/** Revokes a lease; returns false when it does not exist. */
	revoke(id: string): boolean {
		return this.#leases.delete(id);
	}

	/** Removes the expired leases and returns their ids. */
	removeExpired(now: number): string[] {
		const expiredIds = [...this.#leases].filter(([, lease]) => lease.expiresAt <= now).map(([id]) => id);
		for (const id of expiredIds) {
			this.#leases.delete(id);
		}

		return expiredIds;
	}
}

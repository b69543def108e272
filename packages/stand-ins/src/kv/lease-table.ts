type Lease = {
	readonly ttlSeconds: number;
	expiresAt: number;
};

const millisecondsPerSecond = 1000;

/** Leases at one time. */
export type LeaseTableCopy = {
	readonly lastId: number;
	readonly leases: ReadonlyMap<string, {readonly ttlSeconds: number; readonly remainingMs: number}>;
};

/** Leases with their expiry times; times are in milliseconds since the Unix epoch. */
export class LeaseTable {
	#leases = new Map<string, Lease>();
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

	/** Returns a copy of the leases with the time that they have left. */
	copy(now: number): LeaseTableCopy {
		const leases = [...this.#leases].map(([id, {ttlSeconds, expiresAt}]) => [id, {ttlSeconds, remainingMs: expiresAt - now}] as const);
		return {lastId: this.#lastId, leases: new Map(leases)};
	}

	/** Sets the leases back to a copy; they have the time left that they had then, and later ids are given out again. */
	restore(copy: LeaseTableCopy, now: number): void {
		this.#lastId = copy.lastId;
		this.#leases = new Map([...copy.leases].map(([id, {ttlSeconds, remainingMs}]) => [id, {ttlSeconds, expiresAt: now + remainingMs}]));
	}
}

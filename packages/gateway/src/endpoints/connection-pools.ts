import type * as core from '@bluebellmast/core';
import * as connectionPool from './connection-pool.js';

type Pooled = {
	readonly bornAt: number;
	readonly address: string;
	readonly pool: connectionPool.ConnectionPool;
};

/** Connection pools of all endpoints, one for each incarnation. */
export class ConnectionPools {
	readonly #pools = new Map<string, Pooled>();

	/** Returns the pool of an endpoint's incarnation; the connections of an earlier one are closed. */
	poolFor(entry: core.fleet.EndpointEntry): connectionPool.ConnectionPool {
		const known = this.#pools.get(entry.id);
		if (known?.bornAt === entry.bornAt && known.address === entry.address) {
			return known.pool;
		}

		known?.pool.closeIdle();
		const pool = new connectionPool.ConnectionPool(entry.address);
		this.#pools.set(entry.id, {bornAt: entry.bornAt, address: entry.address, pool});
		return pool;
	}

	/** Closes the idle connections of an endpoint. */
	closeIdle(endpoint: string): void {
		this.#pools.get(endpoint)?.pool.closeIdle();
	}

	/** Forgets endpoints that are no longer listed; requests under way go on. */
	retain(listed: ReadonlySet<string>): void {
		for (const [endpoint, pooled] of this.#pools) {
			if (!listed.has(endpoint)) {
				pooled.pool.closeIdle();
				this.#pools.delete(endpoint);
			}
		}
	}
}

import type * as core from '@bluebellmast/core';
import * as connectionPool from './connection-pool.js';
import * as endpointConnection from './endpoint-connection.js';
import type * as endpointConnectors from './endpoint-connectors.js';

type IncarnationPool = {
	readonly bornAt: number;
	readonly address: string;
	readonly pool: connectionPool.ConnectionPool;
};

/** Connection pools of all endpoints, one for the current incarnation of each. */
export class ConnectionPools {
	readonly #pools = new Map<string, IncarnationPool>();

	/**
	 * @param now - Returns the present time, in milliseconds of a clock that includes suspensions of the VM.
	 * @param connectors - Chooses how to connect; all connections are direct by default.
	 */
	constructor(private readonly now: () => number, private readonly connectors?: endpointConnectors.EndpointConnectors) {}

	/** Returns the pool of an endpoint's incarnation; idle connections to an earlier incarnation are closed. */
	poolFor(entry: core.fleet.EndpointEntry): connectionPool.ConnectionPool {
		const known = this.#pools.get(entry.id);
		if (known?.bornAt === entry.bornAt && known.address === entry.address) {
			return known.pool;
		}

		known?.pool.closeIdle();
		const pool = new connectionPool.ConnectionPool(entry.address, this.now, this.#createOptions(entry));
		this.#pools.set(entry.id, {bornAt: entry.bornAt, address: entry.address, pool});
		return pool;
	}

	/** Closes the idle connections to an endpoint. */
	closeIdle(endpoint: string): void {
		this.#pools.get(endpoint)?.pool.closeIdle();
	}

	/** Removes endpoints that are no longer listed. Requests in progress continue, and count if their endpoint returns. */
	retain(listed: ReadonlySet<string>): void {
		for (const [endpoint, {pool}] of this.#pools) {
			if (listed.has(endpoint)) {
				continue;
			}

			pool.closeIdle();
			if (pool.size === 0) {
				this.#pools.delete(endpoint);
			}
		}
	}

	#createOptions(entry: core.fleet.EndpointEntry): connectionPool.ConnectionPoolOptions | undefined {
		const {connectors} = this;
		return connectors && {
			...endpointConnection.defaultConnectionOptions,
			createConnector: timeoutMs => connectors.create(entry, timeoutMs),
			isDirect: () => connectors.isDirect(entry.id),
		};
	}
}

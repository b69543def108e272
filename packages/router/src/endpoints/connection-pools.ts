import * as undici from 'undici';

/** Options of the connections to endpoints. */
export type ConnectionPoolsOptions = {
	/** Milliseconds to open a connection. Default 1,000. */
	readonly connectTimeoutMs?: number;
	/** Milliseconds after which an idle connection is closed. Default 4,000. */
	readonly idleTimeoutMs?: number;
	/** Connections to one endpoint at most. Default 256. */
	readonly maxConnections?: number;
};

const defaultConnectTimeoutMs = 1000;
const defaultIdleTimeoutMs = 4000;
const defaultMaxConnections = 256;

/**
 * Connections to endpoints. Requests that may not be repeated get a connection of their own, so that they never
 * meet an idle one that the other end has forgotten.
 */
export class ConnectionPools {
	readonly #keepAlive: undici.Agent;
	readonly #singleUse: undici.Agent;

	constructor(options: ConnectionPoolsOptions = {}) {
		const connect = {timeout: options.connectTimeoutMs ?? defaultConnectTimeoutMs};
		const connections = options.maxConnections ?? defaultMaxConnections;
		// Deadlines and progress timeouts end requests; undici's own time limits are off.
		const shared = {
			connect, connections, headersTimeout: 0, bodyTimeout: 0, pipelining: 1,
		};
		this.#keepAlive = new undici.Agent({...shared, keepAliveTimeout: options.idleTimeoutMs ?? defaultIdleTimeoutMs});
		this.#singleUse = new undici.Agent({...shared, pipelining: 0});
	}

	/** Connections that are kept and used again. */
	keepAlive(): undici.Dispatcher {
		return this.#keepAlive;
	}

	/** A new connection for each request. */
	singleUse(): undici.Dispatcher {
		return this.#singleUse;
	}

	/** Closes all connections at once. */
	async close(): Promise<void> {
		await this.#keepAlive.destroy();
		await this.#singleUse.destroy();
	}
}

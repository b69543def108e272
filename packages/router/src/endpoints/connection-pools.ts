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
	readonly #reused: undici.Agent;
	readonly #fresh: undici.Agent;

	constructor(options: ConnectionPoolsOptions = {}) {
		const connect = {timeout: options.connectTimeoutMs ?? defaultConnectTimeoutMs};
		const connections = options.maxConnections ?? defaultMaxConnections;
		// Deadlines and progress timeouts end requests; undici's own time limits are off.
		const shared = {
			connect, connections, headersTimeout: 0, bodyTimeout: 0, pipelining: 1,
		};
		this.#reused = new undici.Agent({...shared, keepAliveTimeout: options.idleTimeoutMs ?? defaultIdleTimeoutMs});
		this.#fresh = new undici.Agent({...shared, pipelining: 0});
	}

	/** Connections that are kept and used again. */
	reused(): undici.Dispatcher {
		return this.#reused;
	}

	/** A new connection for each request. */
	fresh(): undici.Dispatcher {
		return this.#fresh;
	}

	/** Closes all connections at once. */
	async close(): Promise<void> {
		await this.#reused.destroy();
		await this.#fresh.destroy();
	}
}

import * as undici from 'undici';

/** Options of `ConnectionPools`. */
export type ConnectionPoolsOptions = {
	/** Time limit for opening a connection, in milliseconds. Default 1,000. */
	readonly connectTimeoutMs?: number;
	/** Milliseconds after which an idle connection is closed. Default 4,000. */
	readonly idleTimeoutMs?: number;
	/** Maximum number of connections to one endpoint. Default 256. */
	readonly maxConnections?: number;
};

const defaultConnectTimeoutMs = 1000;
const defaultIdleTimeoutMs = 4000;
const defaultMaxConnections = 256;

/**
 * Connections to endpoints. Requests that must not be retried use a new connection each, because an idle connection may have
 * been dropped by the other end, which would leave it unknown whether the request was executed.
 */
export class ConnectionPools {
	readonly #keepAlive: undici.Agent;
	readonly #singleUse: undici.Agent;

	constructor(options: ConnectionPoolsOptions = {}) {
		const connect = {timeout: options.connectTimeoutMs ?? defaultConnectTimeoutMs};
		const connections = options.maxConnections ?? defaultMaxConnections;
		// Deadlines and progress timeouts end requests, so undici's own timeouts are disabled.
		const shared = {
			connect, connections, headersTimeout: 0, bodyTimeout: 0, pipelining: 1,
		};
		this.#keepAlive = new undici.Agent({...shared, keepAliveTimeout: options.idleTimeoutMs ?? defaultIdleTimeoutMs});
		this.#singleUse = new undici.Agent({...shared, pipelining: 0});
	}

	/** Returns the dispatcher that keeps connections open and reuses them. */
	keepAlive(): undici.Dispatcher {
		return this.#keepAlive;
	}

	/** Returns the dispatcher that opens a new connection for each request. */
	singleUse(): undici.Dispatcher {
		return this.#singleUse;
	}

	/** Closes all connections immediately; open requests fail. */
	async close(): Promise<void> {
		await this.#keepAlive.destroy();
		await this.#singleUse.destroy();
	}
}

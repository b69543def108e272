import * as connector from './connector.js';
import * as endpointConnection from './endpoint-connection.js';

/** Requirements of a request on its connection. */
export type ConnectionRequirements = {
	/** Whether the request must not be executed twice, so that it can't be retried if the endpoint has closed an idle connection. */
	readonly requiresFresh: boolean;
	/** Id of the request; a connection on which it was refused before is not used. */
	readonly requestId?: string;
};

/** Longest idle time of a connection that is used for such a request, in milliseconds. */
const maxFreshIdleMs = 1500;

/** Options of a {@link ConnectionPool}. */
export type ConnectionPoolOptions = endpointConnection.ConnectionOptions & {
	/** Creates the connector of a new connection. */
	readonly createConnector: (timeoutMs: number) => connector.Connector;
	/** Whether new connections are direct; then those through other VMs end with their requests. */
	readonly isDirect: () => boolean;
};

const defaultPoolOptions: ConnectionPoolOptions = {
	...endpointConnection.defaultConnectionOptions,
	createConnector: timeoutMs => new connector.DirectConnector(timeoutMs),
	isDirect: () => true,
};

/** Connections to one incarnation of an endpoint. */
export class ConnectionPool {
	readonly #connections = new Set<endpointConnection.EndpointConnection>();

	constructor(
		private readonly address: string,
		/** Returns the present time, in milliseconds of a clock that includes suspensions of the VM. */
		private readonly now: () => number,
		private readonly options: ConnectionPoolOptions = defaultPoolOptions,
	) {}

	/** Number of connections. */
	get size(): number {
		return this.#connections.size;
	}

	/**
	 * Returns the idle connection that was used last, or opens one, and marks it as busy.
	 *
	 * @returns `undefined` when all `maxConnections` are busy.
	 */
	acquire(
		requirements: ConnectionRequirements,
		maxConnections: number,
		now: number,
	): endpointConnection.EndpointConnection | undefined {
		let best: endpointConnection.EndpointConnection | undefined;
		for (const connection of this.#connections) {
			const wasRefused = requirements.requestId !== undefined && connection.refusals.mayRepeat(requirements.requestId);
			const isUsable = !connection.isBusy && connection.isOpen && !wasRefused
				&& (!requirements.requiresFresh || now - connection.idleSince <= maxFreshIdleMs);
			if (isUsable && (best === undefined || connection.idleSince > best.idleSince)) {
				best = connection;
			}
		}

		best ??= this.#open(maxConnections);
		if (best !== undefined) {
			best.isBusy = true;
		}

		return best;
	}

	/** Returns a connection to the pool after a request. */
	release(connection: endpointConnection.EndpointConnection, now: number): void {
		connection.isBusy = false;
		connection.idleSince = now;
		if (!connection.isOpen || (connection.helper !== undefined && this.options.isDirect())) {
			this.discard(connection);
		}
	}

	/** Closes a connection and removes it from the pool. */
	discard(connection: endpointConnection.EndpointConnection): void {
		this.#connections.delete(connection);
		connection.destroy();
	}

	/** Closes the idle connections, which may no longer work. */
	closeIdle(): void {
		for (const connection of this.#connections) {
			if (!connection.isBusy) {
				this.discard(connection);
			}
		}
	}

	#open(maxConnections: number): endpointConnection.EndpointConnection | undefined {
		if (this.#connections.size >= maxConnections) {
			const idle = [...this.#connections].find(connection => !connection.isBusy);
			if (idle === undefined) {
				return undefined;
			}

			this.discard(idle);
		}

		const {createConnector, ...times} = this.options;
		const connection = new endpointConnection.EndpointConnection(this.address, {
			...times,
			connector: createConnector(times.connectTimeoutMs),
			now: this.now,
			onClosed: () => {
				if (!connection.isBusy) {
					this.discard(connection);
				}
			},
		});
		this.#connections.add(connection);
		return connection;
	}
}

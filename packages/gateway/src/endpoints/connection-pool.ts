import * as endpointConnection from './endpoint-connection.js';

/** What a request needs of a connection. */
export type ConnectionRequirements = {
	/** Whether the request may run only once, so that a connection which may have been closed is not worth a try. */
	readonly requiresFresh: boolean;
};

/** Idle time up to which a connection is taken for a request that may run only once, in milliseconds. */
const freshIdleMs = 1500;

/** The connections to one incarnation of an endpoint. */
export class ConnectionPool {
	readonly #connections = new Set<endpointConnection.EndpointConnection>();

	constructor(
		private readonly address: string,
		private readonly terms: endpointConnection.ConnectionOptions = endpointConnection.defaultConnectionOptions,
	) {}

	/**
	 * Takes the idle connection that was used last, or opens one.
	 *
	 * @returns `undefined` when all `maxConnections` are busy.
	 */
	acquire(need: ConnectionRequirements, maxConnections: number, now: number): endpointConnection.EndpointConnection | undefined {
		let best: endpointConnection.EndpointConnection | undefined;
		for (const connection of this.#connections) {
			const isUsable = !connection.isBusy && connection.isOpen
				&& (!need.requiresFresh || now - connection.idleSince <= freshIdleMs);
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

	/** Gives a connection back after a request. */
	release(connection: endpointConnection.EndpointConnection, now: number): void {
		connection.isBusy = false;
		connection.idleSince = now;
		if (!connection.isOpen) {
			this.discard(connection);
		}
	}

	/** Closes a connection and forgets it. */
	discard(connection: endpointConnection.EndpointConnection): void {
		this.#connections.delete(connection);
		connection.destroy();
	}

	/** Closes the idle connections, which may have gone silent. */
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

		const connection = new endpointConnection.EndpointConnection(this.address, this.terms, () => {
			if (!connection.isBusy) {
				this.discard(connection);
			}
		});
		this.#connections.add(connection);
		return connection;
	}
}

import type * as net from 'node:net';
import type * as tls from 'node:tls';
import * as undici from 'undici';

/** Times of a connection to an endpoint, in milliseconds. */
export type ConnectionOptions = {
	/** Longest time to open a connection. */
	readonly connectTimeoutMs: number;
	/** Time for which an idle connection is kept where the endpoint states none. */
	readonly keepAliveMs: number;
	/** Part of a stated idle time that is not used, for the time that a close takes to arrive. */
	readonly keepAliveMarginMs: number;
};

/**
 * A lost opening packet is sent again after a second at the earliest, so a connection that is not open after half a
 * second is tried elsewhere; endpoints that state no idle time keep connections for some seconds.
 */
export const defaultConnectionOptions: ConnectionOptions = {
	connectTimeoutMs: 500, keepAliveMs: 4000, keepAliveMarginMs: 400,
};

/** One connection to an endpoint, which carries one request at a time. */
export class EndpointConnection {
	/** Whether a request is under way. */
	isBusy = false;
	/** When the last request ended, in steady milliseconds. */
	idleSince = 0;
	#hasEnded = false;
	#isOpen = false;
	readonly #client: undici.Client;

	constructor(address: string, terms: ConnectionOptions, onClosed: () => void) {
		const connect = undici.buildConnector({timeout: terms.connectTimeoutMs});
		this.#client = new undici.Client(`http://${address}`, {
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: terms.keepAliveMs,
			keepAliveTimeoutThreshold: terms.keepAliveMarginMs,
			connect: (options, callback) => {
				connect(options, (...result: Parameters<undici.buildConnector.Callback>) => {
					const [err, socket] = result;
					if (err === null) {
						this.#watch(socket);
					}

					callback(...result);
				});
			},
		});
		this.#client.on('disconnect', () => {
			this.#isOpen = false;
			onClosed();
		});
	}

	/** Whether the connection has been established and not closed since. */
	get isOpen(): boolean {
		return this.#isOpen;
	}

	/** Whether the endpoint ended the connection in order; a reset leaves an answer without a stated length incomplete. */
	get hasEndedCleanly(): boolean {
		return this.#hasEnded;
	}

	/** Sends a request. */
	dispatch(options: undici.Dispatcher.DispatchOptions, handler: undici.Dispatcher.DispatchHandler): void {
		this.#client.dispatch(options, handler);
	}

	/** Closes the connection at once. */
	destroy(): void {
		this.#client.destroy(null, () => undefined);
	}

	#watch(socket: net.Socket | tls.TLSSocket): void {
		this.#isOpen = true;
		// Listens before the client does, which takes an answer for complete at a reset, too.
		socket.once('end', () => {
			this.#hasEnded = true;
		});
		socket.once('error', () => {
			this.#hasEnded = false;
		});
	}
}

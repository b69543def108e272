import type * as net from 'node:net';
import type * as tls from 'node:tls';
import * as core from '@bluebellmast/core';
import * as undici from 'undici';
import type * as connectorModule from './connector.js';
import * as isReset from './is-reset.js';
import * as refusalHistory from './refusal-history.js';

/** Options of a connection to an endpoint, in milliseconds. */
export type ConnectionOptions = {
	/** Timeout for opening a connection. */
	readonly connectTimeoutMs: number;
	/** How long an idle connection is kept open if the endpoint states no keep-alive timeout. */
	readonly keepAliveMs: number;
	/** Subtracted from a stated keep-alive timeout, since a close by the endpoint takes time to arrive. */
	readonly keepAliveMarginMs: number;
};

/**
 * TCP retransmits a lost SYN after a second at the earliest, so it is faster to try another endpoint when a connection is not
 * open after half a second. Endpoints that state no keep-alive timeout keep idle connections open for some seconds.
 */
export const defaultConnectionOptions: ConnectionOptions = {
	connectTimeoutMs: 500, keepAliveMs: 4000, keepAliveMarginMs: 400,
};

/** The response that is being read on a connection. */
export type ResponseProgress = {
	/** Bytes of its body that were delivered. */
	readonly bodyBytes: number;
	/** Called when far more bytes have arrived than its head, its body and their framing take. */
	readonly onEndless: () => void;
};

/** What an {@link EndpointConnection} is created with. */
export type EndpointConnectionOptions = ConnectionOptions & {
	readonly connector: connectorModule.Connector;
	readonly now: () => number;
	readonly onClosed: () => void;
};

/** A connection to an endpoint; carries one request at a time. */
export class EndpointConnection {
	/** Whether a request is in progress. */
	isBusy = false;
	/** When the last request ended, in milliseconds of the monotonic clock. */
	idleSince = 0;
	readonly refusals = new refusalHistory.RefusalHistory();
	#hasEndedCleanly = false;
	#isOpen = false;
	#openedAt = Infinity;
	#closedAt = Infinity;
	#isClosedHere = false;
	#progress: ResponseProgress | undefined;
	#socket: net.Socket | undefined;
	/** Bytes that had been read before the last request. */
	#bytesBefore = 0;
	readonly #client: undici.Client;

	/** @param options - Its `now` returns the present time, in milliseconds of a clock that includes suspensions of the VM. */
	constructor(address: string, private readonly options: EndpointConnectionOptions) {
		const {connector} = options;
		this.#client = new undici.Client(`http://${address}`, {
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: options.keepAliveMs,
			keepAliveTimeoutThreshold: options.keepAliveMarginMs,
			connect: (connectOptions, callback) => {
				connector.connect(connectOptions, (...result: Parameters<undici.buildConnector.Callback>) => {
					const [err, socket] = result;
					if (err === null) {
						this.#observeSocket(socket);
					}

					callback(...result);
				});
			},
		});
		this.#client.on('disconnect', () => {
			this.#isOpen = false;
			this.#closedAt = options.now();
			options.onClosed();
		});
	}

	/** Whether the connection has been established and not closed since. */
	get isOpen(): boolean {
		return this.#isOpen;
	}

	/** Whether this VM closed the connection while the endpoint kept it open, which says nothing about the endpoint. */
	get isClosedHere(): boolean {
		return this.#isClosedHere;
	}

	/** When the connection was established, in milliseconds of the clock that includes suspensions; `Infinity` before. */
	get openedAt(): number {
		return this.#openedAt;
	}

	/** When the connection was closed by either side, in milliseconds of the clock that includes suspensions; `Infinity` before. */
	get closedAt(): number {
		return this.#closedAt;
	}

	/** Whether the endpoint closed the connection without a reset; after a reset a response without a stated length is incomplete. */
	get hasEndedCleanly(): boolean {
		return this.#hasEndedCleanly;
	}

	/** VM through which the connection goes; absent if it is direct. */
	get helper(): string | undefined {
		return this.options.connector.helper;
	}

	/** Sends a request. @param progress - Absent if the response is not bounded. */
	dispatch(options: undici.Dispatcher.DispatchOptions, handler: undici.Dispatcher.DispatchHandler, progress?: ResponseProgress): void {
		this.#progress = progress;
		this.#bytesBefore = this.#socket?.bytesRead ?? 0;
		this.#client.dispatch(options, handler);
	}

	/** Closes the connection at once. */
	destroy(): void {
		this.#isClosedHere ||= this.#isOpen;
		this.#client.destroy(null, () => undefined);
	}

	#observeSocket(socket: net.Socket | tls.TLSSocket): void {
		this.#isOpen = true;
		this.#openedAt = this.options.now();
		this.#socket = socket;
		socket.on('readable', () => {
			this.#checkOverhead(socket);
		});
		// Registered before the listeners of undici, which treats a response as complete after a reset, too.
		socket.once('end', () => {
			// A VM that relays the connection may end it in the middle of a response.
			this.#hasEndedCleanly = this.helper === undefined && !isReset.isReset(socket);
		});
		socket.once('error', () => {
			this.#hasEndedCleanly = false;
		});
	}

	#checkOverhead({bytesRead}: net.Socket): void {
		const progress = this.#progress;
		if (progress !== undefined && core.request.isEndlessResponse(bytesRead - this.#bytesBefore, progress.bodyBytes)) {
			progress.onEndless();
		}
	}
}

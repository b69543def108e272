import {Buffer} from 'node:buffer';
import * as events from 'node:events';
import type * as undici from 'undici';
import type * as core from '@bluebellmast/core';
import * as gateway from '@bluebellmast/gateway';

/** A stream that an endpoint of {@link FakeConnections} is working on. */
export class FakeStream {
	/** Id of the event that the stream was asked to continue after; 0 for a new one. */
	readonly resumedAfter: number;
	isAborted = false;
	readonly #controller = {
		rawHeaders: [],
		abort: (err: Error) => {
			this.isAborted = true;
			this.handler.onResponseError?.(this.#typedController, err);
		},
		pause: () => undefined,
		resume: () => undefined,
	};

	#nextId: number;

	constructor(readonly endpoint: string, readonly requestId: string, lastEventId: number, private readonly handler: undici.Dispatcher.DispatchHandler) {
		this.resumedAfter = lastEventId;
		this.#nextId = lastEventId + 1;
		handler.onRequestStart?.(this.#typedController, undefined);
	}

	get #typedController(): undici.Dispatcher.DispatchController {
		return this.#controller as unknown as undici.Dispatcher.DispatchController;
	}

	/** Sends the head of the response. */
	begin(status = 200): void {
		this.handler.onResponseStart?.(this.#typedController, status, {'content-length': '1', 'x-request-id': this.requestId}, 'OK');
	}

	/** Refuses the request as not executed. */
	refuse(): void {
		this.handler.onResponseStart?.(this.#typedController, 503, {'content-length': '0', 'x-request-id': this.requestId}, 'Full');
		this.handler.onResponseEnd?.(this.#typedController, {});
	}

	/** Sends the next event. */
	sendEvent(): void {
		this.handler.onResponseData?.(this.#typedController, Buffer.from(`id: ${this.#nextId}\ndata: x\n\n`));
		this.#nextId += 1;
	}

	/** Sends a part of the body. */
	sendBytes(text: string): void {
		this.handler.onResponseData?.(this.#typedController, Buffer.from(text));
	}

	/** Ends the response. */
	end(): void {
		this.handler.onResponseEnd?.(this.#typedController, {});
	}

	/** Breaks the connection. */
	reset(): void {
		this.handler.onResponseError?.(this.#typedController, new Error('other side closed'));
	}
}

type IdleConnection = {
	isOpen: boolean;
	isClosedHere: boolean;
	closedAt: number;
	readonly id: string;
};

/** Connections to endpoints that exist only in the test, which decides what they send. */
export class FakeConnections {
	readonly streams: FakeStream[] = [];
	/** Endpoints to which no further connection may be opened. */
	readonly full = new Set<string>();
	/** Endpoints whose address is invalid, so that opening a connection throws. */
	readonly invalid = new Set<string>();
	/** Endpoints to which connections are never established. */
	readonly unreachable = new Set<string>();

	/** Protocol of the endpoints. */
	readonly protocol = {
		encodeRequestHead: (head: gateway.ports.RequestHead, directives: gateway.ports.AttemptDirectives) =>
			[head.requestId, directives.endpointId, String(directives.lastEventId ?? 0)],
		decodeResponseHead: (status: number, headers: gateway.ports.ParsedHeaders): gateway.ports.ResponseHead => ({
			status, isMisdirected: false, requestId: String(headers['x-request-id']), isNotExecuted: status === 503, hasNotExecutedStatus: status === 503, isLeaving: false, isSigned: true,
		}),
	};

	/** Connection pools as the dispatcher uses them. */
	readonly pools = {
		poolFor: ({id}: core.fleet.EndpointEntry) => ({
			acquire: () => {
				if (this.invalid.has(id)) {
					throw new TypeError('Invalid URL');
				}

				return this.full.has(id) ? undefined : this.#createConnection(id);
			},
			release: (connection: IdleConnection) => {
				this.#idle.push(connection);
			},
			discard: () => undefined,
		}),
		closeIdle: (endpoint: string) => {
			for (const connection of this.#idle.filter(({id}) => id === endpoint)) {
				connection.isOpen = false;
				connection.isClosedHere = true;
			}
		},
	} as unknown as gateway.endpoints.ConnectionPools;

	readonly #idle: IdleConnection[] = [];

	/** Has an endpoint close its idle connections. */
	endIdle(endpoint: string, now: number): void {
		for (const connection of this.#idle.filter(({id}) => id === endpoint)) {
			connection.isOpen = false;
			connection.closedAt = now;
		}
	}

	/** The streams that were sent to an endpoint, in order. */
	listAt(endpoint: string): FakeStream[] {
		return this.streams.filter(stream => stream.endpoint === endpoint);
	}

	#createConnection(id: string) {
		return {
			id,
			isOpen: true,
			isClosedHere: false,
			closedAt: Infinity,
			refusals: new gateway.endpoints.RefusalHistory(),
			dispatch: (options: undici.Dispatcher.DispatchOptions, handler: undici.Dispatcher.DispatchHandler) => {
				const [requestId, endpoint, lastEventId] = options.headers as string[];
				if (this.unreachable.has(endpoint!)) {
					return;
				}

				this.streams.push(new FakeStream(endpoint!, requestId!, Number(lastEventId), handler));
			},
		};
	}
}

/** Response to a caller that keeps what is written. */
export class FakeResponse extends events.EventEmitter {
	statusCode = 0;
	sendDate = true;
	headersSent = false;
	destroyed = false;
	writableFinished = false;
	useChunkedEncodingByDefault = true;
	body = '';

	appendHeader(): void {
		// The headers are of no interest.
	}

	hasHeader(): boolean {
		return false;
	}

	setHeader(): void {
		// The headers are of no interest.
	}

	flushHeaders(): void {
		this.headersSent = true;
	}

	write(bytes: Uint8Array): boolean {
		this.body += Buffer.from(bytes).toString();
		return true;
	}

	end(): void {
		this.writableFinished = true;
		this.emit('close');
	}

	destroy(): void {
		this.destroyed = true;
		this.emit('close');
	}

	/** Ids of the events that were written. */
	listEventIds(): number[] {
		return [...this.body.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]));
	}
}

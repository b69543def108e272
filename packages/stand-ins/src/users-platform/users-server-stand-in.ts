/* eslint-disable @typescript-eslint/naming-convention -- Field names of the protocol. */
import type * as http from 'node:http';
import * as fault from '../fault/index.js';
import * as util from '../util/index.js';
import * as duplicateResponses from './duplicate-responses.js';
import * as responseEnd from './response-end.js';
import * as records from './users-server-records.js';

const defaultEventCount = 3;
const defaultIntervalMs = 1;
const defaultLoadMs = 20;
const defaultLateOrderDelayMs = 300;
const slotCount = 8;
/** Milliseconds from the first event of a stream with the crashing part to the end of the process. */
const crashDelayMs = 30;
/** Milliseconds that written bytes are given to leave before a connection is reset. */
const flushDelayMs = 20;

/**
 * Stand-in for a server of the users' platform, either a model engine or a runner of a plain service.
 * It implements a part of the platform's published protocol.
 */
export class UsersServerStandIn implements fault.StandIn {
	readonly server: fault.StandInServer;
	/** Requests that were executed. */
	readonly executions: records.UsersServerExecution[] = [];
	/** Requests that arrived, also those that were not executed. */
	readonly arrivals: records.UsersServerArrival[] = [];
	/** Streams that sent their first event. */
	readonly starts: records.UsersServerStart[] = [];
	/** Orders that were accepted. */
	readonly orders: records.UsersServerOrder[] = [];
	/** Ids of requests whose connection closed before the response was complete. */
	readonly abandonedRequestIds: string[] = [];
	/** Delayed orders that were not accepted, as a precondition no longer held or the version was loaded already. */
	readonly rejectedLateOrders: records.UsersServerOrder[] = [];
	fault = records.ServerFault.None;
	orderFault = records.OrderFault.None;
	/** Arrivals while the server asked for a pause. */
	readonly arrivalsInPause: records.PausedArrival[] = [];
	/** Value of the header in all responses that announces that the server is leaving; absent if it has no such header. */
	leavingHeader: string | undefined;
	/** Requests a second that the server states as its limit in all responses; absent if it states none. */
	limitHeader: string | undefined;
	/** When requests and calls of any kind arrived, in milliseconds since the Unix epoch. */
	readonly arrivalTimes: number[] = [];
	version = 1;
	/** Delay of plain responses and of first events, in addition to the one of the options, in milliseconds. */
	extraDelayMs = 0;
	/** Number of orders whose delayed execution is pending. */
	pendingLateOrderCount = 0;
	readonly #duplicates = new duplicateResponses.DuplicateResponses();
	#isLoading = false;
	#hasCrashed = false;
	#highestFence = 0;
	/** Number of orders accepted by this incarnation. */
	#acceptedOrderCount = 0;
	#startedAt = Date.now();
	/** Until when the server sends nothing, in milliseconds since the Unix epoch. */
	#silentUntil = -Infinity;
	#pause: records.AskedPause = {retryAfter: '', until: -Infinity, includesCalls: false};

	constructor(readonly options: records.UsersServerOptions) {
		this.server = new fault.StandInServer(options, async (req, res, arrivedAt) => this.#handle(req, res, arrivedAt));
	}

	async start(): Promise<fault.StandInAddresses> {
		return this.server.start();
	}

	async stop(): Promise<void> {
		await this.server.stop();
	}

	/** Simulates a restart under the same id and address: a new incarnation with the same weights. All connections are reset. */
	restart(): void {
		this.#startedAt += 1;
		this.#acceptedOrderCount = 0;
		this.#highestFence = 0;
		this.#isLoading = false;
		this.#hasCrashed = false;
		this.leavingHeader = undefined;
		this.limitHeader = undefined;
		this.server.resetConnections();
	}

	/**
	 * Turns requests and health checks away with status 503 and the value of `Retry-After`, for a time in milliseconds.
	 *
	 * @param includesCalls - Whether orders and reads of the report are turned away as well.
	 */
	askForPause(retryAfter: string, ms: number, includesCalls = false): void {
		this.#pause = {retryAfter, until: Date.now() + ms, includesCalls};
	}

	/** Sends nothing for a time in milliseconds, and then goes on; connections are accepted and stay open meanwhile. */
	fallSilent(ms: number): void {
		this.#silentUntil = Date.now() + ms;
	}

	/** Returns the entry that the server writes about itself to the store. */
	createRegistration(state = 'ready'): Readonly<Record<string, unknown>> {
		return {
			service: this.options.service,
			address: `127.0.0.1:${this.server.port}`,
			zone: 'zone-a',
			version: 'v1',
			slots: slotCount,
			state,
			cold_remaining_ms: 0,
			born: this.#startedAt,
			sequence: 1,
			...(this.options.model !== undefined && {models: this.#listModels()}),
		};
	}

	async #handle(req: http.IncomingMessage, res: http.ServerResponse, arrivedAt: number): Promise<void> {
		this.arrivalTimes.push(arrivedAt);
		const end = new responseEnd.ResponseEnd(res);
		// A request that arrived in a silence is executed after it, also if its connection has closed meanwhile.
		const body = Date.now() < this.#silentUntil ? await util.readText(req) : undefined;
		await this.#waitWhileSilent();
		if (this.leavingHeader !== undefined) {
			res.setHeader('Server-Leaving', this.leavingHeader);
		}

		if (this.limitHeader !== undefined) {
			res.setHeader('Server-Limit', this.limitHeader);
		}

		if (util.headerOf(req, 'bluebellmast-expected-instance') !== this.options.id) {
			util.sendJson(res, 421, {}, {'Bluebellmast-Instance-Id': this.options.id});
			return;
		}

		const path = util.pathOf(req);
		if (Date.now() < this.#pause.until) {
			this.arrivalsInPause.push({path, at: Date.now()});
			const isCall = path === '/v1/report' || path === '/v1/order';
			if (!isCall || this.#pause.includesCalls) {
				this.#turnAway(req, res);
				return;
			}
		}

		switch (path) {
			case '/v1/report': {
				util.sendJson(res, 200, {
					born: this.#startedAt, models: this.#listModels(), busy: this.#isLoading, sequence: this.#acceptedOrderCount,
				});

				break;
			}

			case '/v1/order': {
				await this.#handleOrder(body ?? await util.readText(req), res, arrivedAt);

				break;
			}

			case '/health': {
				util.sendJson(res, 200, {}, {'Bluebellmast-Instance-Id': this.options.id});

				break;
			}

			default: {
				await this.#handleRequest(req, res, {arrivedAt, end, body});
			}
		}
	}

	async #waitWhileSilent(): Promise<void> {
		while (Date.now() < this.#silentUntil) {
			await util.sleep(this.#silentUntil - Date.now()); // eslint-disable-line no-await-in-loop -- The silence may be extended meanwhile.
		}
	}

	#turnAway(req: http.IncomingMessage, res: http.ServerResponse): void {
		util.sendJson(res, 503, {}, {
			'Bluebellmast-Not-Executed': '1',
			'Bluebellmast-Request-Id': util.headerOf(req, 'bluebellmast-request-id'),
			'Retry-After': this.#pause.retryAfter,
		});
	}

	async #handleOrder(body: string, res: http.ServerResponse, arrivedAt: number): Promise<void> {
		const order = {...JSON.parse(body) as records.UsersServerOrder, arrivedAt};
		if (this.orderFault === records.OrderFault.Late) {
			this.pendingLateOrderCount += 1;
			await util.sleep(this.options.lateOrderDelayMs ?? defaultLateOrderDelayMs);
			this.pendingLateOrderCount -= 1;
			if (!this.#executeOrder(order).isAccepted) {
				this.rejectedLateOrders.push(order);
			}

			res.destroy();
			return;
		}

		if (this.orderFault === records.OrderFault.Lost) {
			res.destroy();
			return;
		}

		util.sendJson(res, this.#executeOrder(order).status, {});
	}

	#executeOrder(order: records.UsersServerOrder): records.OrderResult {
		if (order.fence < this.#highestFence) {
			return {status: 412, isAccepted: false};
		}

		this.#highestFence = order.fence;
		if (this.#isLoading || (order.expected !== undefined && order.expected !== this.#acceptedOrderCount)) {
			return {status: 409, isAccepted: false};
		}

		if (order.version === this.version) {
			return {status: 200, isAccepted: false};
		}

		this.orders.push(order);
		this.#acceptedOrderCount += 1;
		this.#isLoading = true;
		setTimeout(() => {
			this.version = order.version;
			this.#isLoading = false;
		}, this.options.loadMs ?? defaultLoadMs);
		return {status: 202, isAccepted: true};
	}

	async #handleRequest(req: http.IncomingMessage, res: http.ServerResponse, {arrivedAt, end, body: bodyReadBefore}: responseEnd.ReceivedRequest): Promise<void> {
		const requestId = util.headerOf(req, 'bluebellmast-request-id');
		this.arrivals.push({requestId, at: arrivedAt});
		const expectedVersion = util.headerOf(req, 'bluebellmast-expected-version');
		const body = bodyReadBefore ?? (this.fault === records.ServerFault.EarlyResponse ? '' : await util.readText(req));
		if (expectedVersion !== '' && Number(expectedVersion) !== this.version) {
			util.sendJson(res, 421, {}, {'Bluebellmast-Instance-Id': this.options.id});
			return;
		}

		if (this.fault === records.ServerFault.Full || this.#isLoading) {
			util.sendJson(res, 503, {}, {'Bluebellmast-Not-Executed': '1', 'Bluebellmast-Request-Id': requestId});
			return;
		}

		const execution: records.UsersServerExecution = {
			server: this.options.id, requestId, path: req.url ?? '', body, headers: req.headers, arrivedAt, expectedEndAt: Date.now() + this.#workMs,
		};
		this.executions.push(execution);
		end.recordIn(execution, () => this.abandonedRequestIds.push(requestId));
		if (this.fault === records.ServerFault.ResponseLost) {
			res.destroy();
			return;
		}

		await (this.options.model === undefined ? this.#sendPlainResponse(requestId, res) : this.#sendStream(req, requestId, res));
	}

	/** Usual duration of a request in milliseconds. */
	get #workMs(): number {
		const {model, intervalMs = defaultIntervalMs, firstEventDelayMs = 0, eventCount = defaultEventCount} = this.options;
		return this.extraDelayMs + (model === undefined ? intervalMs : firstEventDelayMs + (eventCount * intervalMs));
	}

	async #sendPlainResponse(requestId: string, res: http.ServerResponse): Promise<void> {
		await util.sleep((this.options.intervalMs ?? defaultIntervalMs) + this.extraDelayMs);
		await this.#waitWhileSilent();
		if (res.destroyed) {
			return;
		}

		this.#duplicates.sendPending(res.socket!);
		const headers = this.#createHeaders(requestId);
		switch (this.fault) {
			case records.ServerFault.InvalidHttp: {
				res.socket!.write('no answer at all\r\n\r\n');
				break;
			}

			case records.ServerFault.DuplicateResponse:
			case records.ServerFault.LateDuplicateResponse: {
				this.#duplicates.sendTwice(res, {server: this.options.id}, headers, this.fault === records.ServerFault.LateDuplicateResponse);
				break;
			}

			case records.ServerFault.Fails: {
				util.sendJson(res, 500, {problem: 'its own'}, headers);
				break;
			}

			case records.ServerFault.Unframed:
			case records.ServerFault.UnframedReset: {
				await this.#sendUnframedResponse(headers, res);
				break;
			}

			case records.ServerFault.None:
			case records.ServerFault.Full:
			case records.ServerFault.ResponseLost:
			case records.ServerFault.BreakStream:
			case records.ServerFault.SkipEvent:
			case records.ServerFault.WrongId:
			case records.ServerFault.Unsigned:
			case records.ServerFault.EarlyResponse: {
				util.sendJson(res, 200, {server: this.options.id, ...(this.options.identifiesRequests && {requestId})}, headers);
				break;
			}
		}
	}

	async #sendStream(req: http.IncomingMessage, requestId: string, res: http.ServerResponse): Promise<void> {
		const firstId = Number(util.headerOf(req, 'last-event-id') || '0') + 1;
		const lastId = this.options.eventCount ?? defaultEventCount;
		// A fault holds for the streams that begin under it, so that a test may take it back as soon as it sees the execution.
		const breaksStream = this.fault === records.ServerFault.BreakStream;
		const skippedId = this.fault === records.ServerFault.SkipEvent ? firstId + 1 : undefined;
		const label = this.options.identifiesRequests ? ` of ${requestId} from ${this.options.id}` : '';
		await util.sleep((this.options.firstEventDelayMs ?? 0) + this.extraDelayMs);
		await this.#waitWhileSilent();
		if (res.destroyed) {
			return;
		}

		this.starts.push({
			server: this.options.id, requestId, version: this.version, at: Date.now(),
		});
		res.writeHead(200, {
			'Content-Type': 'text/event-stream', 'Bluebellmast-Weight-Versions': String(this.version), ...this.#createHeaders(requestId),
		});
		if (this.#crashesOn(req)) {
			setTimeout(() => {
				this.#crash();
			}, crashDelayMs);
		}

		for (let id = firstId; id <= lastId; id++) {
			if (id !== skippedId) {
				res.write(`id: ${id}\ndata: token ${id}${label}\n\n`);
			}

			await util.sleep(this.options.intervalMs ?? defaultIntervalMs); // eslint-disable-line no-await-in-loop -- Events are sent in sequence.
			await this.#waitWhileSilent(); // eslint-disable-line no-await-in-loop -- Events are sent in sequence.
			if (breaksStream) {
				res.write(`id: ${id + 1}\nda`);
				await this.#resetConnection(res); // eslint-disable-line no-await-in-loop -- The end of the stream.
				return;
			}
		}

		res.end();
	}

	#crashesOn(req: http.IncomingMessage): boolean {
		const parts = util.headerOf(req, 'bluebellmast-prompt-prefix').split(',').slice(0, -1);
		return parts.some(part => part.split(':', 1)[0] === this.options.crashingPart);
	}

	#crash(): void {
		if (!this.#hasCrashed) {
			this.#hasCrashed = true;
			this.server.closeAll();
			this.options.onCrash?.();
		}
	}

	async #sendUnframedResponse(headers: Readonly<Record<string, string>>, res: http.ServerResponse): Promise<void> {
		const headerLines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('');
		res.socket?.write(`HTTP/1.1 200 OK\r\nConnection: close\r\n${headerLines}\r\n{"whole":1}`);
		if (this.fault === records.ServerFault.UnframedReset) {
			await this.#resetConnection(res);
		} else {
			res.socket?.end();
		}
	}

	/** Resets the connection after a delay that lets written bytes leave. */
	async #resetConnection(res: http.ServerResponse): Promise<void> {
		await util.sleep(flushDelayMs);
		(res.socket as unknown as fault.SilenceableConnection).reset();
	}

	#createHeaders(requestId: string): Record<string, string> {
		return {
			'Bluebellmast-Request-Id': this.fault === records.ServerFault.WrongId ? 'another' : requestId,
			'Bluebellmast-Server-Load': `1,0,${slotCount}`,
			...(this.fault !== records.ServerFault.Unsigned && {'Bluebellmast-Response-Seal': `seal-of-${this.options.id}`}),
		};
	}

	#listModels(): unknown[] {
		return [{name: this.options.model, version: this.version, adapters: []}];
	}
}

/* eslint-disable @typescript-eslint/naming-convention -- Field names of the protocol. */
import type * as http from 'node:http';
import type * as net from 'node:net';
import * as fault from '../fault/index.js';
import * as util from '../util/index.js';

/** Options of a server of the users' platform. */
export type UsersServerOptions = fault.StandInOptions & {
	readonly id: string;
	readonly service: string;
	/** Model that it serves in streams; a plain service without one. */
	readonly model?: string;
	/** Events of each stream; default 3. */
	readonly eventCount?: number;
	/** Milliseconds until the first event of a stream; default 0. */
	readonly firstEventDelayMs?: number;
	/** Milliseconds between events, and that a plain request takes; default 1. */
	readonly intervalMs?: number;
	/** Milliseconds that new weights take; default 20. */
	readonly loadMs?: number;
	/** Milliseconds after which an order is carried out that got no answer; default 300. */
	readonly lateOrderDelayMs?: number;
};

/** What becomes of orders. */
export enum OrderFault {
	None = 'none',
	/** An order gets no answer and is carried out later, if its condition holds then. */
	Late = 'late',
}

/** How a server misbehaves. */
export enum ServerFault {
	None = 'none',
	/** Refuses requests as if it were full. */
	Full = 'full',
	/** Runs the request and resets the connection in place of an answer. */
	AnswerLost = 'answer_lost',
	/** Breaks streams off after their first event. */
	BreakStream = 'break_stream',
	/** Answers with the id of another request. */
	WrongId = 'wrong_id',
	/** Answers without its signature. */
	Unsigned = 'unsigned',
	/** Sends an answer of no stated length and resets the connection at its end. */
	UnframedReset = 'unframed_reset',
	/** Sends a whole answer of no stated length, which ends with its connection. */
	Unframed = 'unframed',
	/** Runs the request and answers with a failure. */
	Fails = 'fails',
	/** Sends the same answer a second time, after the first. */
	Doubled = 'doubled',
	/** Sends the same answer a second time just before the answer to the next request on the connection. */
	DoubledLate = 'doubled_late',
	/** Answers before it has read the body, and reads on later. */
	Early = 'early',
	/** Sends bytes that are no answer. */
	Nonsense = 'nonsense',
}

/** A request that a server ran. */
export type UsersServerExecution = {
	readonly server: string;
	readonly requestId: string;
	readonly path: string;
	readonly body: string;
	readonly headers: http.IncomingHttpHeaders;
};

/** An order that a server took. */
export type UsersServerOrder = {
	readonly version: number;
	readonly holder: string;
	readonly fence: number;
	/** Orders that must have been accepted before; absent where any number may. */
	readonly expected?: number;
	/** When it arrived, in Unix milliseconds. */
	readonly arrivedAt: number;
};

/** What a server answers to an order. */
type OrderAnswer = {
	readonly status: number;
	readonly isAccepted: boolean;
};

const defaultEventCount = 3;
const defaultIntervalMs = 1;
const defaultLoadMs = 20;
const defaultLateOrderDelayMs = 300;
const slotCount = 8;
/** Time for bytes to leave before a reset, in milliseconds. */
const flushDelayMs = 20;

/** A server of the users' platform, a model engine or a runner of a plain service, over a part of its published protocol. */
export class UsersServerStandIn implements fault.StandIn {
	readonly server: fault.StandInServer;
	/** Requests that it ran. */
	readonly executions: UsersServerExecution[] = [];
	/** Orders that it took. */
	readonly orders: UsersServerOrder[] = [];
	/** Ids of requests whose connection the caller closed before the end. */
	readonly abandonedRequestIds: string[] = [];
	/** Orders that came late and were not carried out, since their condition did not hold any more. */
	readonly rejectedLateOrders: UsersServerOrder[] = [];
	fault = ServerFault.None;
	orderFault = OrderFault.None;
	version = 1;
	/** Orders that wait to be carried out late. */
	pendingLateOrderCount = 0;
	/** Answers that are to be sent once more, by connection. */
	readonly #pendingDuplicateAnswers = new WeakMap<net.Socket, string>();
	#isLoading = false;
	#highestFence = 0;
	/** Orders accepted by this incarnation. */
	#acceptedOrderCount = 0;
	#startedAt = Date.now();

	constructor(private readonly options: UsersServerOptions) {
		this.server = new fault.StandInServer(options, async (req, res) => this.#handle(req, res));
	}

	async start(): Promise<fault.StandInAddresses> {
		return this.server.start();
	}

	async stop(): Promise<void> {
		await this.server.stop();
	}

	/** Starts again under the same id and address: a new incarnation with the weights that it had. */
	restart(): void {
		this.#startedAt += 1;
		this.#acceptedOrderCount = 0;
		this.#highestFence = 0;
		this.#isLoading = false;
		this.server.resetConnections();
	}

	/** Returns what it writes about itself to the store. */
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

	async #handle(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		if (util.headerOf(req, 'bluebellmast-expected-instance') !== this.options.id) {
			util.sendJson(res, 421, {}, {'Bluebellmast-Instance-Id': this.options.id});
			return;
		}

		const path = util.pathOf(req);
		switch (path) {
			case '/v1/report': {
				util.sendJson(res, 200, {
					born: this.#startedAt, models: this.#listModels(), busy: this.#isLoading, sequence: this.#acceptedOrderCount,
				});

				break;
			}

			case '/v1/order': {
				await this.#handleOrder(req, res);

				break;
			}

			case '/health': {
				util.sendJson(res, 200, {}, {'Bluebellmast-Instance-Id': this.options.id});

				break;
			}

			default: {
				await this.#handleRequest(req, res);
			}
		}
	}

	async #handleOrder(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		const order = {...await util.readJson(req) as UsersServerOrder, arrivedAt: Date.now()};
		if (this.orderFault === OrderFault.Late) {
			this.pendingLateOrderCount += 1;
			await util.sleep(this.options.lateOrderDelayMs ?? defaultLateOrderDelayMs);
			this.pendingLateOrderCount -= 1;
			if (!this.#executeOrder(order).isAccepted) {
				this.rejectedLateOrders.push(order);
			}

			res.destroy();
			return;
		}

		util.sendJson(res, this.#executeOrder(order).status, {});
	}

	#executeOrder(order: UsersServerOrder): OrderAnswer {
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

	async #handleRequest(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		const requestId = util.headerOf(req, 'bluebellmast-request-id');
		const expectedVersion = util.headerOf(req, 'bluebellmast-expected-version');
		const body = this.fault === ServerFault.Early ? '' : await util.readText(req);
		if (expectedVersion !== '' && Number(expectedVersion) !== this.version) {
			util.sendJson(res, 421, {}, {'Bluebellmast-Instance-Id': this.options.id});
			return;
		}

		if (this.fault === ServerFault.Full || this.#isLoading) {
			util.sendJson(res, 503, {}, {'Bluebellmast-Not-Executed': '1', 'Bluebellmast-Request-Id': requestId});
			return;
		}

		this.executions.push({
			server: this.options.id, requestId, path: req.url ?? '', body, headers: req.headers,
		});
		res.once('close', () => {
			if (!res.writableFinished) {
				this.abandonedRequestIds.push(requestId);
			}
		});
		if (this.fault === ServerFault.AnswerLost) {
			res.destroy();
			return;
		}

		await (this.options.model === undefined ? this.#answerPlain(requestId, res) : this.#answerStream(req, requestId, res));
	}

	async #answerPlain(requestId: string, res: http.ServerResponse): Promise<void> {
		await util.sleep(this.options.intervalMs ?? defaultIntervalMs);
		this.#sendPendingDuplicate(res.socket!);
		const headers = this.#createHeaders(requestId);
		switch (this.fault) {
			case ServerFault.Nonsense: {
				res.socket!.write('no answer at all\r\n\r\n');
				break;
			}

			case ServerFault.Doubled:
			case ServerFault.DoubledLate: {
				this.#answerTwice(headers, res);
				break;
			}

			case ServerFault.Fails: {
				util.sendJson(res, 500, {problem: 'its own'}, headers);
				break;
			}

			case ServerFault.Unframed:
			case ServerFault.UnframedReset: {
				await this.#answerUnframed(headers, res);
				break;
			}

			case ServerFault.None:
			case ServerFault.Full:
			case ServerFault.AnswerLost:
			case ServerFault.BreakStream:
			case ServerFault.WrongId:
			case ServerFault.Unsigned:
			case ServerFault.Early: {
				util.sendJson(res, 200, {server: this.options.id}, headers);
				break;
			}
		}
	}

	#sendPendingDuplicate(socket: net.Socket): void {
		const duplicate = this.#pendingDuplicateAnswers.get(socket);
		if (duplicate !== undefined) {
			this.#pendingDuplicateAnswers.delete(socket);
			socket.write(duplicate);
		}
	}

	async #answerStream(req: http.IncomingMessage, requestId: string, res: http.ServerResponse): Promise<void> {
		const firstId = Number(util.headerOf(req, 'last-event-id') || '0') + 1;
		const lastId = this.options.eventCount ?? defaultEventCount;
		await util.sleep(this.options.firstEventDelayMs ?? 0);
		res.writeHead(200, {
			'Content-Type': 'text/event-stream', 'Bluebellmast-Weight-Versions': String(this.version), ...this.#createHeaders(requestId),
		});
		for (let id = firstId; id <= lastId; id++) {
			res.write(`id: ${id}\ndata: token ${id}\n\n`);
			await util.sleep(this.options.intervalMs ?? defaultIntervalMs); // eslint-disable-line no-await-in-loop -- Events follow one another.
			if (this.fault === ServerFault.BreakStream) {
				res.write(`id: ${id + 1}\nda`);
				await this.#resetConnection(res); // eslint-disable-line no-await-in-loop -- The end of the stream.
				return;
			}
		}

		res.end();
	}

	/** Answers, and sends or keeps a copy of the answer. */
	#answerTwice(headers: Readonly<Record<string, string>>, res: http.ServerResponse): void {
		const body = JSON.stringify({server: this.options.id});
		const headerLines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('');
		const copy = `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n${headerLines}\r\n${body}`;
		const {socket} = res;
		util.sendJson(res, 200, {server: this.options.id}, headers);
		if (this.fault === ServerFault.Doubled) {
			socket!.write(copy);
		} else {
			this.#pendingDuplicateAnswers.set(socket!, copy);
		}
	}

	async #answerUnframed(headers: Readonly<Record<string, string>>, res: http.ServerResponse): Promise<void> {
		const headerLines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('');
		res.socket?.write(`HTTP/1.1 200 OK\r\nConnection: close\r\n${headerLines}\r\n{"whole":1}`);
		if (this.fault === ServerFault.UnframedReset) {
			await this.#resetConnection(res);
		} else {
			res.socket?.end();
		}
	}

	/** Resets a connection once what was written has gone. */
	async #resetConnection(res: http.ServerResponse): Promise<void> {
		await util.sleep(flushDelayMs);
		(res.socket as unknown as fault.SilenceableConnection).reset();
	}

	#createHeaders(requestId: string): Record<string, string> {
		return {
			'Bluebellmast-Request-Id': this.fault === ServerFault.WrongId ? 'another' : requestId,
			'Bluebellmast-Server-Load': `1,0,${slotCount}`,
			...(this.fault !== ServerFault.Unsigned && {'Bluebellmast-Response-Seal': `seal-of-${this.options.id}`}),
		};
	}

	#listModels(): unknown[] {
		return [{name: this.options.model, version: this.version, adapters: []}];
	}
}

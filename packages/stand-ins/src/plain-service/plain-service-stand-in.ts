import * as crypto from 'node:crypto';
import type * as http from 'node:http';
import * as wire from '@bluebellmast/wire';
import * as fault from '../fault/index.js';
import * as util from '../util/index.js';

/** Options of a plain service stand-in. */
export type PlainServiceOptions = fault.StandInOptions & {
	/** Name of the runner in responses and records; default `runner`. */
	readonly name?: string;
	/** Mean duration of a call in milliseconds; default 10. */
	readonly latencyMs?: number;
	/** File to which one JSON line per execution is appended; default none. */
	readonly recordFile?: string;
};

/** Record of one execution of a call. */
export type Execution = {
	readonly runner: string;
	/** Arrival time of the call in milliseconds since the Unix epoch. */
	readonly arrivedAt: number;
	/** Execution time in milliseconds since the Unix epoch. */
	readonly at: number;
	readonly method: string;
	readonly path: string;
	readonly requestId: string;
	readonly attemptId: string;
	readonly account: string;
	readonly idempotencyKey: string;
	/** Field `order` of the request body; empty when absent. */
	readonly order: string;
};

/** Body of the response to a call. */
export type PlainServiceResponse = {
	readonly runner: string;
	readonly order: string;
	readonly requestId: string;
	readonly account: string;
};

const defaultLatencyMs = 10;

/** Simulated runner of a plain service: executes a call to any path and records each execution. */
export class PlainServiceStandIn implements fault.StandIn {
	readonly server: fault.StandInServer;
	readonly #name: string;
	readonly #latencyMs: number;
	readonly #random: util.Random;
	readonly #recorder: util.Recorder<Execution>;
	readonly #incarnation = crypto.randomUUID();
	#sequence = 0;
	#runningCount = 0;

	constructor(options: PlainServiceOptions) {
		this.#name = options.name ?? 'runner';
		this.#latencyMs = options.latencyMs ?? defaultLatencyMs;
		this.#random = new util.Random(options.seed ?? 1);
		this.#recorder = new util.Recorder(options.recordFile);
		this.server = new fault.StandInServer(options, async (req, res, arrivedAt) => this.#handle(req, res, arrivedAt), {
			record: () => this.executions(),
		});
	}

	async start(): Promise<fault.StandInAddresses> {
		return this.server.start();
	}

	async stop(): Promise<void> {
		await this.server.stop();
	}

	/** Returns all executions of this process. */
	executions(): readonly Execution[] {
		return this.#recorder.list();
	}

	async #handle(req: http.IncomingMessage, res: http.ServerResponse, arrivedAt: number): Promise<void> {
		if (util.pathOf(req) === '/v1/load') {
			await this.server.faults.waitBeforeResponse();
			util.sendJson(res, 200, this.#createLoadReport());
			return;
		}

		this.#runningCount += 1;
		try {
			await this.#execute(req, res, arrivedAt);
		} finally {
			this.#runningCount -= 1;
		}
	}

	async #execute(req: http.IncomingMessage, res: http.ServerResponse, arrivedAt: number): Promise<void> {
		const text = await util.readText(req);
		await util.sleep(this.#drawHalfLatencyMs());
		await this.server.faults.waitWhileFrozen();
		const execution = this.#addRecord(req, text, arrivedAt);
		await util.sleep(this.#drawHalfLatencyMs());
		await this.server.faults.waitBeforeResponse();
		if (this.#random.chance(this.server.faults.responseLossProbability)) {
			res.destroy();
			return;
		}

		util.sendJson(res, 200, this.#createResponse(execution), {
			[wire.http.HeaderName.RequestId]: execution.requestId,
			[wire.http.HeaderName.AttemptId]: execution.attemptId,
		});
	}

	#addRecord(req: http.IncomingMessage, text: string, arrivedAt: number): Execution {
		const execution: Execution = {
			runner: this.#name,
			arrivedAt,
			at: Date.now(),
			method: req.method ?? '',
			path: util.pathOf(req),
			requestId: util.headerOf(req, wire.http.HeaderName.RequestId),
			attemptId: util.headerOf(req, wire.http.HeaderName.AttemptId),
			account: util.headerOf(req, wire.http.HeaderName.Account),
			idempotencyKey: util.headerOf(req, wire.http.HeaderName.IdempotencyKey),
			order: readOrder(text),
		};
		this.#recorder.add(execution);
		return execution;
	}

	#createResponse(execution: Execution): PlainServiceResponse {
		return {
			runner: execution.runner,
			order: execution.order,
			requestId: execution.requestId,
			account: execution.account,
		};
	}

	#drawHalfLatencyMs(): number {
		return this.#random.exponential(this.#latencyMs / 2);
	}

	#createLoadReport(): wire.endpoint.LoadReport {
		this.#sequence += 1;
		return {
			incarnation: this.#incarnation,
			sequence: this.#sequence,
			running: this.#runningCount,
			queued: 0,
			queuedTokens: 0,
			cachedTokens: 0,
			cacheLimitTokens: 0,
			weights: [],
			leaving: this.server.faults.isLeaving,
		};
	}
}

/** Creates a plain service stand-in. */
export function createPlainService(options: PlainServiceOptions = {}): PlainServiceStandIn {
	return new PlainServiceStandIn(options);
}

function readOrder(text: string): string {
	try {
		const {order} = JSON.parse(text) as {order?: unknown};
		return typeof order === 'string' || typeof order === 'number' ? String(order) : '';
	} catch {
		return '';
	}
}

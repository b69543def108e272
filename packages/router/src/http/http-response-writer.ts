import * as buffer from 'node:buffer';
import type * as http from 'node:http';
import * as core from '@bluebellmast/core';
import * as wire from '@bluebellmast/wire';
import type * as responseWriter from './response-writer.js';
import * as refusalHeaders from './refusal-headers.js';
import * as httpStatusOf from './http-status-of.js';

const defaultDrainTimeoutMs = 30_000;

/** The answer to one caller. Exactly one final answer is given. */
export class HttpResponseWriter implements responseWriter.ResponseWriter {
	readonly #res: http.ServerResponse;
	readonly #requestId: core.model.RequestId;
	readonly #drainTimeoutMs: number;
	#isFinished = false;
	#isCallerDisconnected = false;

	/** @param drainTimeoutMs - Milliseconds that a caller may leave a full buffer unread before it counts as gone. */
	constructor(res: http.ServerResponse, requestId: core.model.RequestId, drainTimeoutMs = defaultDrainTimeoutMs) {
		this.#res = res;
		this.#requestId = requestId;
		this.#drainTimeoutMs = drainTimeoutMs;
		res.setHeader(wire.http.HeaderName.RequestId, requestId);
		res.on('close', () => {
			this.#isCallerDisconnected = !res.writableFinished;
		});
	}

	/** Whether the final answer was given. */
	get isFinished(): boolean {
		return this.#isFinished;
	}

	/** Whether the caller closed its connection before the whole answer was sent. */
	get isCallerDisconnected(): boolean {
		return this.#isCallerDisconnected;
	}

	/** Whether any byte was given to the caller. */
	get hasStarted(): boolean {
		return this.#res.headersSent;
	}

	/** Calls back when the caller goes away before the answer is whole. */
	onCallerDisconnect(listener: () => void): void {
		this.#res.on('close', () => {
			if (!this.#res.writableFinished) {
				listener();
			}
		});
	}

	/** Closes the caller's connection after the answer. */
	closeConnection(): void {
		this.#res.setHeader('connection', 'close');
	}

	/** Gives a refusal as the final answer; within a stream it becomes a typed error event. */
	sendRefusal(refusal: core.model.Refusal): void {
		if (this.#res.headersSent) {
			this.#endStreamWithError(refusal);
			return;
		}

		for (const [name, value] of Object.entries(refusalHeaders.createRefusalHeaders(refusal))) {
			this.#res.setHeader(name, value);
		}

		this.sendJson(httpStatusOf.httpStatusOf(refusal.code), {error: refusal});
	}

	/** Gives a JSON value as the final answer. */
	sendJson(statusCode: number, value: unknown): void {
		const body = buffer.Buffer.from(JSON.stringify(value));
		this.sendBuffered({status: statusCode, contentType: wire.http.MediaType.Json, body});
	}

	/** Gives an endpoint's whole answer as the final answer. */
	sendBuffered(whole: responseWriter.BufferedResponse): void {
		this.#markFinished();
		this.#res.statusCode = whole.status;
		this.#res.setHeader('content-type', whole.contentType);
		this.#res.setHeader('content-length', whole.body.length);
		this.#res.end(whole.body);
	}

	/** Begins a stream of server-sent events. */
	startStream(headers: Readonly<Partial<Record<wire.http.HeaderName, string>>>): void {
		for (const [name, value] of Object.entries(headers)) {
			this.#res.setHeader(name, value);
		}

		this.#res.writeHead(200, {'content-type': wire.http.MediaType.EventStream, 'cache-control': 'no-store'});
	}

	/** Sends one event, and waits while the caller's connection holds a full buffer. */
	async sendEvent(id: number, data: string, eventName?: string): Promise<void> {
		const name = eventName === undefined ? '' : `event: ${eventName}\n`;
		if (this.#res.write(`${name}id: ${id}\ndata: ${data}\n\n`) || this.#isCallerDisconnected) {
			return;
		}

		await this.#waitForDrain();
	}

	/** Ends a stream that is whole. */
	endStream(): void {
		this.#markFinished();
		this.#res.end('data: [DONE]\n\n');
	}

	/** Waits until the caller's connection takes more, or is closed; closes it when it has gone silent. */
	async #waitForDrain(): Promise<void> {
		await new Promise<void>(resolve => {
			const timer = setTimeout(() => {
				this.#isCallerDisconnected = true;
				this.#res.destroy();
				done();
			}, this.#drainTimeoutMs);
			const done = () => {
				clearTimeout(timer);
				this.#res.off('drain', done);
				this.#res.off('close', done);
				resolve();
			};

			this.#res.on('drain', done);
			this.#res.on('close', done);
		});
	}

	#endStreamWithError(refusal: core.model.Refusal): void {
		this.#markFinished();
		this.#res.end(`event: error\ndata: ${JSON.stringify({error: refusal})}\n\n`);
	}

	#markFinished(): void {
		core.util.assertInvariant(!this.#isFinished, 'answer.one-final', () => `request ${this.#requestId} was answered twice`);
		this.#isFinished = true;
	}
}

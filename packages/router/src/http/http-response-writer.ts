import * as buffer from 'node:buffer';
import type * as http from 'node:http';
import * as core from '@bluebellmast/core';
import * as clients from '@bluebellmast/kv';
import * as wire from '@bluebellmast/wire';
import type * as responseWriter from './response-writer.js';
import * as refusalHeaders from './refusal-headers.js';
import * as httpStatusOf from './http-status-of.js';

const defaultDrainTimeoutMs = 30_000;

/** Writes the response to one caller over HTTP. Exactly one final response is sent. */
export class HttpResponseWriter implements responseWriter.ResponseWriter {
	readonly #res: http.ServerResponse;
	readonly #requestId: core.model.RequestId;
	readonly #drainTimeoutMs: number;
	#isFinished = false;
	#isCallerDisconnected = false;

	/**
	 * @param drainTimeoutMs - Milliseconds for which the send buffer may stay full before the caller counts as disconnected.
	 * Default 30,000.
	 */
	constructor(res: http.ServerResponse, requestId: core.model.RequestId, drainTimeoutMs = defaultDrainTimeoutMs) {
		this.#res = res;
		this.#requestId = requestId;
		this.#drainTimeoutMs = drainTimeoutMs;
		res.setHeader(wire.http.HeaderName.RequestId, requestId);
		res.on('close', () => {
			this.#isCallerDisconnected = !res.writableFinished;
		});
	}

	/** Whether the final response was sent. */
	get isFinished(): boolean {
		return this.#isFinished;
	}

	/** Whether the caller disconnected before the complete response was sent. */
	get isCallerDisconnected(): boolean {
		return this.#isCallerDisconnected;
	}

	/** Whether any part of the response, headers included, was sent to the caller. */
	get hasStarted(): boolean {
		return this.#res.headersSent;
	}

	/** Registers a callback for a caller that disconnects before the complete response was sent. */
	onCallerDisconnect(listener: () => void): void {
		this.#res.on('close', () => {
			if (!this.#res.writableFinished) {
				listener();
			}
		});
	}

	/** Makes the server close the caller's connection after the response. */
	closeConnection(): void {
		this.#res.setHeader('connection', 'close');
	}

	/** Sends a refusal as the final response. If a stream has started, the refusal is sent as an `error` event that ends it. */
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

	/** Sends a JSON value as the final response. */
	sendJson(statusCode: number, value: unknown): void {
		const body = buffer.Buffer.from(JSON.stringify(value));
		this.sendBuffered({status: statusCode, contentType: wire.http.MediaType.Json, body});
	}

	/** Sends a buffered response of an endpoint as the final response. */
	sendBuffered(response: responseWriter.BufferedResponse): void {
		this.#markFinished();
		this.#res.statusCode = response.status;
		this.#res.setHeader('content-type', response.contentType);
		this.#res.setHeader('content-length', response.body.length);
		this.#res.end(response.body);
	}

	/** Starts a stream of server-sent events. */
	startStream(headers: Readonly<Partial<Record<wire.http.HeaderName, string>>>): void {
		for (const [name, value] of Object.entries(headers)) {
			this.#res.setHeader(name, value);
		}

		this.#res.writeHead(200, {'content-type': wire.http.MediaType.EventStream, 'cache-control': 'no-store'});
	}

	/** Sends one event and waits while the caller's send buffer is full. */
	async sendEvent(id: number, data: string, eventName?: string): Promise<void> {
		const name = eventName === undefined ? '' : `event: ${eventName}\n`;
		if (this.#res.write(`${name}id: ${id}\ndata: ${data}\n\n`) || this.#isCallerDisconnected) {
			return;
		}

		await this.#waitForDrain();
	}

	/** Ends a complete stream. */
	endStream(): void {
		this.#markFinished();
		this.#res.end('data: [DONE]\n\n');
	}

	/** Waits until the send buffer has drained or the connection is closed; closes the connection after the drain timeout. */
	async #waitForDrain(): Promise<void> {
		await new Promise<void>(resolve => {
			const timer = new clients.timeouts.SilenceTimer(this.#drainTimeoutMs, () => {
				this.#isCallerDisconnected = true;
				this.#res.destroy();
				done();
			});
			const done = () => {
				timer.clear();
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
		core.util.assertInvariant(!this.#isFinished, 'answer.one-final', () => `request ${this.#requestId} has a final response already`);
		this.#isFinished = true;
	}
}

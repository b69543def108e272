import * as buffer from 'node:buffer';
import * as core from '@bluebellmast/core';
import * as wire from '@bluebellmast/wire';
import type * as responseWriter from '../http/response-writer.js';
import * as refusalHeaders from '../http/refusal-headers.js';
import * as httpStatusOf from '../http/http-status-of.js';

/** Response in the form in which it is sent to another router. */
export type CapturedResponse = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
};

/** Captures the complete response to a request that another router forwarded. */
export class CapturingResponseWriter implements responseWriter.ResponseWriter {
	readonly #onResponse: (response: CapturedResponse) => void;
	#isFinished = false;

	/** @param onResponse - Called once, with the final response. */
	constructor(onResponse: (response: CapturedResponse) => void) {
		this.#onResponse = onResponse;
	}

	get isCallerDisconnected(): boolean {
		return false;
	}

	get hasStarted(): boolean {
		return false;
	}

	get isFinished(): boolean {
		return this.#isFinished;
	}

	onCallerDisconnect(): void {
		// A forwarded request always runs to its end, and its response is stored for a retry with the same idempotency key.
	}

	sendRefusal(refusal: core.model.Refusal): void {
		const headers = {...refusalHeaders.createRefusalHeaders(refusal), 'content-type': wire.http.MediaType.Json};
		this.#finish({
			status: httpStatusOf.httpStatusOf(refusal.code), headers, body: buffer.Buffer.from(JSON.stringify({error: refusal})),
		});
	}

	sendJson(statusCode: number, value: unknown): void {
		const body = buffer.Buffer.from(JSON.stringify(value));
		this.sendBuffered({status: statusCode, contentType: wire.http.MediaType.Json, body});
	}

	sendBuffered(response: responseWriter.BufferedResponse): void {
		this.#finish({status: response.status, headers: {'content-type': response.contentType}, body: response.body});
	}

	startStream(): void {
		throw new core.util.InvariantError('forward.no-stream', 'only calls of plain services are forwarded');
	}

	async sendEvent(): Promise<void> {
		this.startStream();
	}

	endStream(): void {
		this.startStream();
	}

	#finish(response: CapturedResponse): void {
		core.util.assertInvariant(!this.#isFinished, 'answer.one-final', () => 'a forwarded request has a final response already');
		this.#isFinished = true;
		this.#onResponse(response);
	}
}

import * as buffer from 'node:buffer';
import * as core from '@bluebellmast/core';
import * as wire from '@bluebellmast/wire';
import type * as responseWriter from '../http/response-writer.js';
import * as refusalHeaders from '../http/refusal-headers.js';
import * as httpStatusOf from '../http/http-status-of.js';

/** An answer as it is sent to another router. */
export type CapturedResponse = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
};

/** Holds the whole answer to a request that another router has forwarded. */
export class CapturingResponseWriter implements responseWriter.ResponseWriter {
	readonly #onResult: (result: CapturedResponse) => void;
	#isFinished = false;

	/** @param onResult - Called once, with the final answer. */
	constructor(onResult: (result: CapturedResponse) => void) {
		this.#onResult = onResult;
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
		// A forwarded request runs to its end: its answer is kept for the next try with its key.
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

	sendBuffered(whole: responseWriter.BufferedResponse): void {
		this.#finish({status: whole.status, headers: {'content-type': whole.contentType}, body: whole.body});
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

	#finish(result: CapturedResponse): void {
		core.util.assertInvariant(!this.#isFinished, 'answer.one-final', () => 'a forwarded request was answered twice');
		this.#isFinished = true;
		this.#onResult(result);
	}
}

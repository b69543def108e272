import * as buffer from 'node:buffer';
import * as core from '@bluebellmast/core';
import * as wire from '@bluebellmast/wire';
import type * as answer from '../http/answer.js';
import * as refusalHeaders from '../http/refusal-headers.js';
import * as status from '../http/status-of.js';

/** An answer as it is sent to another router. */
export type CapturedResult = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
};

/** Holds the whole answer to a request that another router has forwarded. */
export class CapturedAnswer implements answer.Answer {
	readonly #onResult: (result: CapturedResult) => void;
	#finished = false;

	/** @param onResult - Called once, with the final answer. */
	constructor(onResult: (result: CapturedResult) => void) {
		this.#onResult = onResult;
	}

	get callerGone(): boolean {
		return false;
	}

	get started(): boolean {
		return false;
	}

	get finished(): boolean {
		return this.#finished;
	}

	onCallerGone(): void {
		// A forwarded request runs to its end: its answer is kept for the next try with its key.
	}

	sendRefusal(refusal: core.model.Refusal): void {
		const headers = {...refusalHeaders.createRefusalHeaders(refusal), 'content-type': wire.http.MediaType.Json};
		this.#finish({
			status: status.statusOf(refusal.code), headers, body: buffer.Buffer.from(JSON.stringify({error: refusal})),
		});
	}

	sendJson(statusCode: number, value: unknown): void {
		const body = buffer.Buffer.from(JSON.stringify(value));
		this.sendWhole({status: statusCode, contentType: wire.http.MediaType.Json, body});
	}

	sendWhole(whole: answer.WholeAnswer): void {
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

	#finish(result: CapturedResult): void {
		core.util.assertInvariant(!this.#finished, 'answer.one-final', () => 'a forwarded request was answered twice');
		this.#finished = true;
		this.#onResult(result);
	}
}

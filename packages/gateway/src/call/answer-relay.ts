import * as buffer from 'node:buffer';
import type * as http from 'node:http';
import type * as endpoints from '../endpoints/index.js';
import type * as ports from '../ports/index.js';
import * as connectionHeaders from '../util/connection-headers.js';
import * as eventSplitter from './event-splitter.js';

/** Answers up to this size are read whole before they are passed on, so that a broken one can be tried elsewhere. */
const maxHeldBytes = 65_536;

/** Decides on the head of an answer whether it is passed on. */
export type HeadDecision = (head: ports.ResponseHead) => boolean;

/** Options of {@link AnswerRelay}. */
export type AnswerRelayOptions = {
	readonly isStream: boolean;
	readonly wantsAnswer: HeadDecision;
	/** Called at the first byte of each answer and at each event. */
	readonly onProgress: () => void;
	/** Called when the caller reads on after a pause. */
	readonly onDrain: () => void;
};

/**
 * Passes the answer of one or, for a resumed stream, several attempts on to the caller. Streams are passed on in whole
 * events as they arrive, other answers once they are whole.
 */
export class AnswerRelay implements endpoints.ResponseSink {
	/** Id of the last event that was passed on. */
	lastEventId: number | undefined;
	#splitter = new eventSplitter.EventSplitter();
	#held: Uint8Array[] = [];
	#heldBytes = 0;
	#head: {readonly status: number; readonly rawHeaders: readonly string[]; readonly isFramed: boolean} | undefined;
	#hasBegun = false;
	#isEventStream = false;
	#isWaitingForDrain = false;
	#hasWrongOrder = false;

	constructor(private readonly res: http.ServerResponse, private readonly options: AnswerRelayOptions) {}

	/** Whether any part of an answer went to the caller. */
	get hasBegun(): boolean {
		return this.#hasBegun;
	}

	/** Whether an endpoint sent events out of order, so that the answer can't be completed. */
	get hasWrongOrder(): boolean {
		return this.#hasWrongOrder;
	}

	onHead(head: ports.ResponseHead, raw: endpoints.RawResponse): boolean {
		this.options.onProgress();
		if (!this.options.wantsAnswer(head)) {
			return false;
		}

		this.#splitter = new eventSplitter.EventSplitter();
		if (this.#hasBegun) {
			return head.status === this.#head?.status;
		}

		const headers = raw.headers.map(value => buffer.Buffer.from(value).toString('latin1'));
		this.#held = [];
		this.#heldBytes = 0;
		this.#head = {status: head.status, rawHeaders: headers, isFramed: raw.isFramed};
		this.#isEventStream = this.options.isStream && head.status < 300;
		if (this.#isEventStream) {
			this.#begin();
			this.res.flushHeaders();
		}

		return true;
	}

	onData(chunk: Uint8Array): boolean {
		this.options.onProgress();
		if (this.#isEventStream) {
			return this.#passEvents(chunk);
		}

		if (this.#hasBegun) {
			return this.#write(chunk);
		}

		this.#held.push(chunk);
		this.#heldBytes += chunk.length;
		return this.#heldBytes <= maxHeldBytes || this.#releaseHeld();
	}

	/** Completes the answer. */
	finish(): void {
		if (!this.#hasBegun) {
			this.#begin();
		}

		for (const chunk of this.#held) {
			this.res.write(chunk);
		}

		this.#held = [];
		this.res.end();
	}

	/** Whether the stream ended within an event. */
	get endsWithinEvent(): boolean {
		return this.#isEventStream && this.#splitter.pendingBytes > 0;
	}

	/** Closes the caller's connection, so that an answer that has begun does not look complete. */
	cut(): void {
		this.res.destroy();
	}

	#passEvents(chunk: Uint8Array): boolean {
		const batch = this.#splitter.push(chunk);
		if (batch === undefined) {
			return true;
		}

		if (!this.#isNext(batch)) {
			this.#hasWrongOrder = true;
			this.cut();
			return false;
		}

		this.lastEventId = batch.lastId ?? this.lastEventId;
		return this.#write(batch.bytes);
	}

	/** Events have consecutive ids within a batch and after the last one passed on. */
	#isNext(batch: eventSplitter.EventBatch): boolean {
		if (batch.firstId === undefined || batch.lastId === undefined) {
			return true;
		}

		const isConsecutive = batch.lastId - batch.firstId === batch.count - 1;
		return isConsecutive && (this.lastEventId === undefined || batch.firstId === this.lastEventId + 1);
	}

	#releaseHeld(): boolean {
		this.#begin();
		let mayGoOn = true;
		for (const chunk of this.#held) {
			mayGoOn = this.#write(chunk);
		}

		this.#held = [];
		return mayGoOn;
	}

	#begin(): void {
		this.#hasBegun = true;
		const {status, rawHeaders, isFramed} = this.#head!;
		this.res.statusCode = status;
		this.res.sendDate = false;
		if (!isFramed) {
			this.#endWithConnection();
		}

		const dropped = connectionHeaders.listConnectionHeaders(rawHeaders);
		for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
			const name = rawHeaders[index]!;
			if (!dropped.has(name.toLowerCase())) {
				this.res.appendHeader(name, rawHeaders[index + 1]!);
			}
		}
	}

	/** Leaves an answer without a stated end as it is: nobody but the endpoint can tell whether it is complete. */
	#endWithConnection(): void {
		this.res.useChunkedEncodingByDefault = false;
		this.res.shouldKeepAlive = false;
	}

	#write(bytes: Uint8Array): boolean {
		const mayGoOn = this.res.write(bytes);
		if (!mayGoOn && !this.#isWaitingForDrain) {
			this.#isWaitingForDrain = true;
			this.res.once('drain', () => {
				this.#isWaitingForDrain = false;
				this.options.onDrain();
			});
		}

		return mayGoOn;
	}
}

import * as buffer from 'node:buffer';
import type * as http from 'node:http';
import type * as endpoints from '../endpoints/index.js';
import type * as ports from '../ports/index.js';
import * as connectionHeaders from '../util/connection-headers.js';
import * as eventSplitter from './event-splitter.js';

/** Answers up to this size are read whole before they are passed on, so that a broken one can be tried elsewhere. */
const maxBufferedBytes = 65_536;

/** Decides on the head of an answer whether it is passed on. */
export type HeadPredicate = (head: ports.AnswerHead) => boolean;

/** Options of {@link ResponseRelay}. */
export type ResponseRelayOptions = {
	readonly isStream: boolean;
	readonly acceptsHead: HeadPredicate;
	/** Called at the first byte of each answer and at each event. */
	readonly onProgress: () => void;
	/** Called when the caller reads on after a pause. */
	readonly onDrain: () => void;
};

/**
 * Passes the answer of one or, for a resumed stream, several attempts on to the caller. Streams are passed on in whole
 * events as they arrive, other answers once they are whole.
 */
export class ResponseRelay implements endpoints.AnswerSink {
	/** Id of the last event that was passed on. */
	lastEventId: number | undefined;
	#splitter = new eventSplitter.EventSplitter();
	#buffered: Uint8Array[] = [];
	#bufferedBytes = 0;
	#head: {readonly status: number; readonly rawHeaders: readonly string[]; readonly isFramed: boolean} | undefined;
	#hasStarted = false;
	#isEventStream = false;
	#isWaitingForDrain = false;
	#hasSequenceError = false;

	constructor(private readonly res: http.ServerResponse, private readonly options: ResponseRelayOptions) {}

	/** Whether any part of an answer went to the caller. */
	get hasStarted(): boolean {
		return this.#hasStarted;
	}

	/** Whether an endpoint sent events out of order, so that the answer can't be completed. */
	get hasSequenceError(): boolean {
		return this.#hasSequenceError;
	}

	onHead(head: ports.AnswerHead, raw: endpoints.RawAnswer): boolean {
		this.options.onProgress();
		if (!this.options.acceptsHead(head)) {
			return false;
		}

		this.#splitter = new eventSplitter.EventSplitter();
		if (this.#hasStarted) {
			return head.status === this.#head?.status;
		}

		const headers = raw.headers.map(value => buffer.Buffer.from(value).toString('latin1'));
		this.#buffered = [];
		this.#bufferedBytes = 0;
		this.#head = {status: head.status, rawHeaders: headers, isFramed: raw.isFramed};
		this.#isEventStream = this.options.isStream && head.status < 300;
		if (this.#isEventStream) {
			this.#start();
			this.res.flushHeaders();
		}

		return true;
	}

	onData(chunk: Uint8Array): boolean {
		this.options.onProgress();
		if (this.#isEventStream) {
			return this.#relayEvents(chunk);
		}

		if (this.#hasStarted) {
			return this.#write(chunk);
		}

		this.#buffered.push(chunk);
		this.#bufferedBytes += chunk.length;
		return this.#bufferedBytes <= maxBufferedBytes || this.#flushBuffered();
	}

	/** Completes the answer. */
	complete(): void {
		if (!this.#hasStarted) {
			this.#start();
		}

		for (const chunk of this.#buffered) {
			this.res.write(chunk);
		}

		this.#buffered = [];
		this.res.end();
	}

	/** Whether the stream ended within an event. */
	get hasIncompleteEvent(): boolean {
		return this.#isEventStream && this.#splitter.pendingBytes > 0;
	}

	/** Closes the caller's connection, so that an answer that has begun does not look complete. */
	abort(): void {
		this.res.destroy();
	}

	#relayEvents(chunk: Uint8Array): boolean {
		const batch = this.#splitter.push(chunk);
		if (batch === undefined) {
			return true;
		}

		if (!this.#continuesSequence(batch)) {
			this.#hasSequenceError = true;
			this.abort();
			return false;
		}

		this.lastEventId = batch.lastId ?? this.lastEventId;
		return this.#write(batch.bytes);
	}

	/** Events have consecutive ids within a batch and after the last one passed on. */
	#continuesSequence(batch: eventSplitter.EventBatch): boolean {
		if (batch.firstId === undefined || batch.lastId === undefined) {
			return true;
		}

		const isConsecutive = batch.lastId - batch.firstId === batch.count - 1;
		return isConsecutive && (this.lastEventId === undefined || batch.firstId === this.lastEventId + 1);
	}

	#flushBuffered(): boolean {
		this.#start();
		let canContinue = true;
		for (const chunk of this.#buffered) {
			canContinue = this.#write(chunk);
		}

		this.#buffered = [];
		return canContinue;
	}

	#start(): void {
		this.#hasStarted = true;
		const {status, rawHeaders, isFramed} = this.#head!;
		this.res.statusCode = status;
		this.res.sendDate = false;
		if (!isFramed) {
			this.#delimitByConnectionClose();
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
	#delimitByConnectionClose(): void {
		this.res.useChunkedEncodingByDefault = false;
		this.res.shouldKeepAlive = false;
	}

	#write(bytes: Uint8Array): boolean {
		const canContinue = this.res.write(bytes);
		if (!canContinue && !this.#isWaitingForDrain) {
			this.#isWaitingForDrain = true;
			this.res.once('drain', () => {
				this.#isWaitingForDrain = false;
				this.options.onDrain();
			});
		}

		return canContinue;
	}
}

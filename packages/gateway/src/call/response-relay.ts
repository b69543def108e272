import * as buffer from 'node:buffer';
import type * as http from 'node:http';
import type * as endpoints from '../endpoints/index.js';
import type * as ports from '../ports/index.js';
import * as abortResponse from '../util/abort-response.js';
import * as byteAccumulator from '../util/byte-accumulator.js';
import * as connectionHeaders from '../util/connection-headers.js';
import * as eventSplitter from './event-splitter.js';
import type * as responseMemory from './response-memory.js';

/** Responses up to this size are buffered until complete, so that a request can be retried if its response is interrupted. */
const maxBufferedBytes = 65_536;

/** Largest event of a stream; an event holds some tokens. */
export const maxEventBytes = 262_144;

/** Options of {@link ResponseRelay}. */
export type ResponseRelayOptions = {
	readonly isStream: boolean;
	/** Whether another endpoint may continue a stream, which then has another length than its first endpoint stated. */
	readonly isResumable: boolean;
	/** Called when a chunk of the body arrives, of a stream a complete event. */
	readonly onProgress: () => void;
	/** Called when an endpoint sent events with non-consecutive ids; nothing is relayed afterwards. */
	readonly onSequenceError: () => void;
	/** Called when an event is larger than any sound one; nothing of it is relayed. */
	readonly onEventTooLarge: () => void;
	/** Called when the response is cut, since callers that don't read use the memory for responses. */
	readonly onEvicted: () => void;
	/** Memory for the responses of all requests. */
	readonly memory: responseMemory.ResponseMemory;
	/** Called when the caller's connection accepts data again after backpressure. */
	readonly onDrain: () => void;
};

/**
 * Relays the response of one attempt or, for a resumed stream, of several attempts to the caller. Events of streams are
 * relayed as soon as they are complete. Other responses are buffered until they are complete or exceed the buffer.
 * A response that ends with the endpoint's connection is relayed in chunks, as the end of this process would look like its end;
 * so is a stream that may be resumed, whatever length its first endpoint states.
 */
export class ResponseRelay {
	/** Id of the last event that was relayed. */
	lastEventId: number | undefined;
	#splitter = new eventSplitter.EventSplitter();
	readonly #buffered = new byteAccumulator.ByteAccumulator();
	/** Part of the memory for responses that is recorded for what is buffered, in bytes. */
	#recordedBytes = 0;
	#head: {readonly status: number; readonly rawHeaders: readonly string[]} | undefined;
	#hasStarted = false;
	#isEventStream = false;
	#isWaitingForDrain = false;
	#hasSequenceError = false;
	/** Whether the response of an endpoint that is relayed continues the one of another endpoint. */
	#isContinuation = false;
	/** Whether an event with an id has arrived since the last head. */
	#hasEvent = false;

	constructor(private readonly res: http.ServerResponse, private readonly options: ResponseRelayOptions) {
		res.once('close', () => {
			this.#takeBuffered();
			options.memory.removeUnread(this);
		});
	}

	/** Whether a response to the caller was started. */
	get hasStarted(): boolean {
		return this.#hasStarted;
	}

	/** Whether the response consists of events, so that another endpoint can continue it after the last one. */
	get isEventStream(): boolean {
		return this.#isEventStream;
	}

	/** Whether an endpoint sent events with non-consecutive ids, so that the response can't be completed. */
	get hasSequenceError(): boolean {
		return this.#hasSequenceError;
	}

	/** Whether the caller does not accept more data at present, so that endpoints are not read. */
	get isBlocked(): boolean {
		return this.#isWaitingForDrain;
	}

	/** Whether a response with the given status can be relayed: one that has started keeps its status. */
	canContinueWith(status: number): boolean {
		return !this.#hasStarted || status === this.#head?.status;
	}

	/** Whether a response with the given head consists of events. */
	isStreamHead({status}: ports.ResponseHead): boolean {
		return this.options.isStream && status < 300;
	}

	/** Starts to relay a response, or continues the one that has started. */
	onHead(head: ports.ResponseHead, raw: endpoints.RawResponse): void {
		this.#splitter = new eventSplitter.EventSplitter();
		this.#isContinuation = this.#hasStarted;
		this.#hasEvent = false;
		if (this.#hasStarted) {
			return;
		}

		const headers = raw.headers.map(value => buffer.Buffer.from(value).toString('latin1'));
		this.#takeBuffered();
		this.#head = {status: head.status, rawHeaders: headers};
		this.#isEventStream = this.isStreamHead(head);
		if (this.#isEventStream) {
			this.#start();
			this.res.flushHeaders();
		}
	}

	/** Relays a chunk of the body. @returns Whether to continue reading. */
	onData(chunk: Uint8Array): boolean {
		if (this.#isEventStream) {
			return this.#relayEvents(chunk);
		}

		this.options.onProgress();

		if (this.#hasStarted) {
			return this.#write(chunk);
		}

		this.#buffered.push(chunk);
		const mayKeep = this.#recordBuffered();
		return (mayKeep && this.#buffered.length <= maxBufferedBytes) || this.#flushBuffered();
	}

	/** Completes the response. */
	complete(): void {
		if (!this.#hasStarted) {
			this.#start();
			this.#stateLength();
		}

		if (this.#buffered.length > 0) {
			this.res.write(this.#takeBuffered());
		}

		this.res.end();
	}

	/** Whether the stream ends with an incomplete event. */
	get hasIncompleteEvent(): boolean {
		return this.#isEventStream && this.#splitter.pendingBytes > 0;
	}

	/** Whether the stream is the continuation of another endpoint's and has no event, so that nothing shows that it belongs there. */
	get isEmptyContinuation(): boolean {
		return this.#isEventStream && this.#isContinuation && !this.#hasEvent;
	}

	/**
	 * Whether the ids of a batch are consecutive and continue after the last event that was relayed.
	 *
	 * @param isContinuation - Whether the batch is of another endpoint than the last event; then all of its events must have ids.
	 */
	continuesSequence(batch: eventSplitter.EventBatch, isContinuation: boolean): boolean {
		if (isContinuation && batch.hasUnidentified) {
			return false;
		}

		if (batch.firstId === undefined || batch.lastId === undefined) {
			return true;
		}

		const isConsecutive = batch.lastId - batch.firstId === batch.count - 1;
		return isConsecutive && (this.lastEventId === undefined || batch.firstId === this.lastEventId + 1);
	}

	/** Closes the caller's connection, so that the caller can detect that the response is incomplete. */
	abort(): void {
		abortResponse.abortResponse(this.res);
	}

	#relayEvents(chunk: Uint8Array): boolean {
		if (this.#hasSequenceError) {
			return true;
		}

		const batch = this.#splitter.push(chunk);
		if (batch === undefined) {
			if (this.#splitter.pendingBytes > maxEventBytes) {
				this.options.onEventTooLarge();
			}

			return true;
		}

		this.options.onProgress();
		if (!this.continuesSequence(batch, this.#isContinuation)) {
			this.#hasSequenceError = true;
			this.options.onSequenceError();
			return true;
		}

		this.lastEventId = batch.lastId ?? this.lastEventId;
		this.#hasEvent ||= batch.lastId !== undefined;
		return this.#write(batch.bytes);
	}

	#flushBuffered(): boolean {
		this.#start();
		return this.#write(this.#takeBuffered());
	}

	#start(): void {
		this.#hasStarted = true;
		const {status, rawHeaders} = this.#head!;
		this.res.statusCode = status;
		this.res.sendDate = false;
		const dropped = connectionHeaders.listConnectionHeaders(rawHeaders);
		const keepsLength = !(this.#isEventStream && this.options.isResumable);
		for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
			const name = rawHeaders[index]!.toLowerCase();
			if (!dropped.has(name) && (keepsLength || name !== 'content-length')) {
				this.res.appendHeader(rawHeaders[index]!, rawHeaders[index + 1]!);
			}
		}
	}

	/** States the length of a response that is known as a whole: a caller of HTTP/1.0 gets no chunks, so that nothing else shows whether it has received everything. */
	#stateLength(): void {
		if (this.#buffered.length > 0 && !this.res.hasHeader('content-length')) {
			this.res.setHeader('Content-Length', this.#buffered.length);
		}
	}

	/** Records the memory of what is buffered. @returns Whether it may be kept. */
	#recordBuffered(): boolean {
		const grownBytes = this.#buffered.allocatedBytes - this.#recordedBytes;
		this.#recordedBytes += grownBytes;
		return this.options.memory.changeBuffered(grownBytes);
	}

	#takeBuffered(): Uint8Array {
		const bytes = this.#buffered.take();
		this.#recordBuffered();
		return bytes;
	}

	#write(bytes: Uint8Array): boolean {
		const canContinue = this.res.write(bytes);
		if (!canContinue && !this.#isWaitingForDrain) {
			this.#isWaitingForDrain = true;
			this.options.memory.addUnread(this, {
				bytes: this.res.writableLength,
				evict: () => {
					this.options.onEvicted();
					this.abort();
				},
			});
			this.res.once('drain', () => {
				this.#isWaitingForDrain = false;
				this.options.memory.removeUnread(this);
				this.options.onDrain();
			});
		}

		return canContinue;
	}
}

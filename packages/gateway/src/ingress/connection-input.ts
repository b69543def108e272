import type * as http from 'node:http';
import type * as net from 'node:net';
import type * as earlyBody from '../call/early-body.js';
import type * as stepScheduler from '../util/step-scheduler.js';

/** Bytes that the HTTP parser gets at a time: chunks of one byte cost some hundred times as much as large ones. */
const sliceBytes = 2048;
/** Time for which the parser gets slices of what was read at once, in milliseconds. */
const maxInlineMs = 1;

type DataListener = (chunk: Uint8Array) => void;

/** Dependencies of {@link ConnectionInput}. */
export type ConnectionInputOptions = {
	readonly scheduler: stepScheduler.StepScheduler;
	/** Returns the present time in milliseconds of a monotonic clock. */
	readonly now: () => number;
	/** Called with the number of bytes that an input holds from now on. */
	readonly onHeld: (input: ConnectionInput, bytes: number) => void;
};

/**
 * Passes on what arrives on a caller's connection to Node's HTTP parser, in slices that are spread over the turns of the event loop. By itself, Node parses all that was read
 * at once, also while nothing reads the body. What the parser doesn't get yet stays in the buffer of the socket, which Node bounds.
 */
export class ConnectionInput {
	readonly #parse: DataListener;
	/** Response to the last request that began, and its body, if it is chunked. */
	#res: http.ServerResponse | undefined;
	#early: earlyBody.EarlyBody | undefined;
	/** Bytes that the parser got since the last request began or its body was read. */
	#aheadBytes = 0;
	/** Whether what has arrived waits in the buffer of the socket. */
	#isHeld = false;
	/** Whether a step is reading from that buffer. */
	#isStepping = false;
	#isScheduled = false;
	#isDiscarding = false;

	/** Replaces Node's listener for the data of a connection, which hands all of it to the parser at once. */
	constructor(readonly socket: net.Socket, private readonly options: ConnectionInputOptions) {
		const [parse] = socket.listeners('data');
		this.#parse = parse as DataListener;
		// By these listeners, which Node removes with the one for data, the socket stops reading as soon as it is paused.
		const pauseListeners = socket.listeners('pause');
		const resumeListeners = socket.listeners('resume');
		socket.removeAllListeners('data');
		socket.on('data', (chunk: Uint8Array) => {
			this.#onData(chunk);
		});
		restoreListeners(socket, 'pause', pauseListeners);
		restoreListeners(socket, 'resume', resumeListeners);
		socket.on('drain', () => {
			this.#continue();
		});
		socket.once('close', () => {
			options.onHeld(this, 0);
		});
	}

	/** To be called when a request begins. @param early - Its body, if it is chunked and has not been read. */
	onRequest(res: http.ServerResponse, early: earlyBody.EarlyBody | undefined): void {
		const continueInput = (): void => {
			this.#continue();
		};

		this.#res = res;
		this.#early = early;
		this.#aheadBytes = 0;
		if (early === undefined) {
			res.req.on('resume', continueInput);
		} else {
			early.onTaken = continueInput;
		}

		res.once('close', continueInput);
	}

	/** Discards what arrives from now on, without parsing it. */
	discard(): void {
		if (!this.#isDiscarding) {
			this.#isDiscarding = true;
			this.#isHeld = false;
			this.options.onHeld(this, 0);
			this.socket.resume();
		}
	}

	#onData(chunk: Uint8Array): void {
		if (this.#isDiscarding) {
			return;
		}

		if (this.#isHeld && !this.#isStepping) {
			// Node's HTTP server has resumed the socket.
			this.#hold(chunk);
		} else {
			this.#feed(chunk);
		}
	}

	#feed(chunk: Uint8Array): void {
		const startedAt = chunk.length > sliceBytes ? this.options.now() : 0;
		let offset = 0;
		while (offset < chunk.length) {
			if (!this.#mayFeed() || (offset > 0 && this.options.now() - startedAt >= maxInlineMs)) {
				this.#hold(chunk.subarray(offset));
				return;
			}

			const slice = this.#isReadingLength ? chunk.subarray(offset) : chunk.subarray(offset, offset + sliceBytes);
			this.#aheadBytes += slice.length;
			this.#parse.call(this.socket, slice);
			offset += slice.length;
			if (this.#isDiscarding || this.socket.destroyed) {
				return;
			}
		}
	}

	/** Whether a body is being read that states its length, so that its pieces are as large as what the parser gets. */
	get #isReadingLength(): boolean {
		const req = this.#res?.req;
		return req !== undefined && this.#early === undefined && !req.complete && req.readableFlowing === true;
	}

	/** Whether the parser may get more: what follows a request that is not handled yet, or not read, waits. */
	#mayFeed(): boolean {
		if (this.socket.writableNeedDrain) {
			return false;
		}

		if (this.#res === undefined || this.#res.closed) {
			return true;
		}

		const {req} = this.#res;
		if (!req.complete && (this.#early === undefined ? req.readableFlowing : this.#early.isTaken)) {
			this.#aheadBytes = 0;
		}

		return this.#aheadBytes < sliceBytes;
	}

	#hold(chunk: Uint8Array): void {
		this.#isHeld = true;
		this.socket.pause();
		this.socket.unshift(chunk);
		this.options.onHeld(this, this.socket.readableLength);
		this.#continue();
	}

	#continue(): void {
		if (this.#isHeld && !this.#isScheduled && this.#mayFeed()) {
			this.#isScheduled = true;
			this.options.scheduler.schedule(() => {
				this.#isScheduled = false;
				this.#step();
			});
		}
	}

	/** Lets the parser get a slice of what waits. */
	#step(): void {
		const {socket} = this;
		if (!this.#isHeld || socket.destroyed || !this.#mayFeed()) {
			return;
		}

		if (socket.readableLength > 0) {
			this.#isStepping = true;
			socket.read(this.#isReadingLength ? socket.readableLength : Math.min(socket.readableLength, sliceBytes));
			this.#isStepping = false;
		}

		this.options.onHeld(this, socket.readableLength);
		if (socket.readableLength > 0) {
			this.#continue();
		} else {
			this.#isHeld = false;
			socket.resume();
		}
	}
}

function restoreListeners(socket: net.Socket, event: 'pause' | 'resume', listeners: readonly unknown[]): void {
	for (const listener of listeners.filter(each => !socket.listeners(event).includes(each as () => void))) {
		socket.on(event, listener as () => void);
	}
}

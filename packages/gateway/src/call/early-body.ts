import type * as http from 'node:http';
import * as byteAccumulator from '../util/byte-accumulator.js';

/**
 * What has arrived of a request's body before anything reads it, as one piece. The HTTP parser goes on with what it got together with the head, and would keep each chunk as an
 * object of some hundred bytes.
 */
export class EarlyBody {
	/** Number of pieces that have arrived. */
	pieces = 0;
	/** Called when the body is read from now on. */
	onTaken: (() => void) | undefined;
	readonly #bytes = new byteAccumulator.ByteAccumulator();
	#isTaken = false;
	readonly #onData: (chunk: Uint8Array) => void;

	/** @param onPiece - Called after each piece. */
	constructor(private readonly req: http.IncomingMessage, onPiece: (body: EarlyBody) => void) {
		this.#onData = chunk => {
			this.pieces += 1;
			this.#bytes.push(chunk);
			onPiece(this);
		};

		req.on('data', this.#onData);
	}

	/** Number of bytes that have arrived and were not taken. */
	get length(): number {
		return this.#bytes.length;
	}

	/** Whether the body is read by its consumer. */
	get isTaken(): boolean {
		return this.#isTaken;
	}

	/** Returns what has arrived; its consumer reads the rest itself. */
	take(): Uint8Array {
		this.#isTaken = true;
		this.req.off('data', this.#onData);
		this.onTaken?.();
		return this.#bytes.take();
	}
}

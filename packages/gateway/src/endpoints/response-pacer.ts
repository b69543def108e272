import * as byteAccumulator from '../util/byte-accumulator.js';
import type * as stepScheduler from '../util/step-scheduler.js';

/** Pieces that may arrive at the same time without a pause; what is read at once may contain ten thousand chunks of one byte. */
const maxPieces = 256;
/** Pieces of a batch that are passed on one by one, and the size from which on a piece always is, in bytes. */
const maxSinglePieces = 16;
const minSinglePieceBytes = 1024;
/** Bytes of small pieces that are joined at most. */
const maxJoinedBytes = 16_384;

/** Options of {@link ResponsePacer}. */
export type ResponsePacerOptions = {
	readonly scheduler: stepScheduler.StepScheduler;
	/** Passes on a part of the body. @returns Whether to continue reading; otherwise {@link ResponsePacer.resume} continues. */
	readonly onData: (bytes: Uint8Array) => boolean;
	/** Stops the parser behind the next piece. */
	readonly pause: () => void;
	readonly resume: () => void;
};

/**
 * Joins small pieces of a body if many of them arrive at the same time, and spreads the parsing of many of them over the turns of the event loop: each piece costs as much as a
 * large one by itself.
 */
export class ResponsePacer {
	readonly #joined = new byteAccumulator.ByteAccumulator();
	/** Pieces that have arrived at the same time. */
	#pieces = 0;
	#isPaced = false;
	#isBlocked = false;
	#isEnded = false;

	constructor(private readonly options: ResponsePacerOptions) {}

	/** Handles a piece of the body. */
	push(piece: Uint8Array): void {
		this.#pieces += 1;
		this.#endBatchSoon();
		if (this.#pieces <= maxSinglePieces || piece.length >= minSinglePieceBytes) {
			this.flush();
			this.#deliver(piece);
			return;
		}

		this.#joined.push(piece);
		if (this.#joined.length >= maxJoinedBytes) {
			this.flush();
		}
	}

	/** Passes on what has arrived. */
	flush(): void {
		if (this.#joined.length > 0) {
			this.#deliver(this.#joined.take());
		}
	}

	/** Continues after {@link ResponsePacerOptions.onData} returned `false`. */
	resume(): void {
		this.#isBlocked = false;
		this.#resumeIfAllowed();
	}

	/** Stops; what has arrived and was not passed on is dropped. */
	end(): void {
		this.#isEnded = true;
	}

	#deliver(bytes: Uint8Array): void {
		if (!this.options.onData(bytes)) {
			this.#isBlocked = true;
			this.options.pause();
		}
	}

	/** What is read at the same time is parsed before microtasks run. */
	#endBatchSoon(): void {
		if (this.#pieces === 1) {
			queueMicrotask(() => {
				this.#endBatch();
			});
		}
	}

	#endBatch(): void {
		const pieces = this.#pieces;
		this.#pieces = 0;
		if (this.#isEnded) {
			return;
		}

		this.flush();
		if (pieces >= maxPieces && !this.#isPaced) {
			// Not within what was read: the client would read more each time that it goes on.
			this.#isPaced = true;
			this.options.pause();
			this.options.scheduler.schedule(() => {
				this.#isPaced = false;
				this.#resumeIfAllowed();
			});
		}
	}

	#resumeIfAllowed(): void {
		if (!this.#isPaced && !this.#isBlocked && !this.#isEnded) {
			this.options.resume();
		}
	}
}

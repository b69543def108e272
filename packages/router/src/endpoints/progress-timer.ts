/** Aborts when no progress is noted for a time. */
export class ProgressTimer {
	readonly #controller = new AbortController();
	readonly #timeoutMs: number;
	#timer: NodeJS.Timeout;

	/**
	 * @param firstTimeoutMs - Milliseconds until the first progress.
	 * @param timeoutMs - Milliseconds between later signs of progress.
	 */
	constructor(firstTimeoutMs: number, timeoutMs: number) {
		this.#timeoutMs = timeoutMs;
		this.#timer = this.#startTimer(firstTimeoutMs);
	}

	/** Aborted when progress stops. */
	get signal(): AbortSignal {
		return this.#controller.signal;
	}

	/** Notes progress. */
	restart(): void {
		this.stop();
		this.#timer = this.#startTimer(this.#timeoutMs);
	}

	/** Ends the timer for good, or while the reader itself does not read. */
	stop(): void {
		clearTimeout(this.#timer);
	}

	#startTimer(limitMs: number): NodeJS.Timeout {
		return setTimeout(() => {
			this.#controller.abort('no progress');
		}, limitMs);
	}
}

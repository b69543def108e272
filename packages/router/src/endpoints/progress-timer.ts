/** Aborts when no progress is noted for a time. */
export class ProgressTimer {
	readonly #controller = new AbortController();
	readonly #limitMs: number;
	#timer: NodeJS.Timeout;

	/**
	 * @param firstLimitMs - Milliseconds until the first progress.
	 * @param limitMs - Milliseconds between later signs of progress.
	 */
	constructor(firstLimitMs: number, limitMs: number) {
		this.#limitMs = limitMs;
		this.#timer = this.#arm(firstLimitMs);
	}

	/** Aborted when progress stops. */
	get signal(): AbortSignal {
		return this.#controller.signal;
	}

	/** Notes progress. */
	touch(): void {
		this.stop();
		this.#timer = this.#arm(this.#limitMs);
	}

	/** Ends the timer for good, or while the reader itself does not read. */
	stop(): void {
		clearTimeout(this.#timer);
	}

	#arm(limitMs: number): NodeJS.Timeout {
		return setTimeout(() => {
			this.#controller.abort('no progress');
		}, limitMs);
	}
}

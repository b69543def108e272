import * as clients from '@bluebellmast/kv';

/** Timer that aborts a signal unless it is restarted within its time limit. */
export class ProgressTimer {
	readonly #controller = new AbortController();
	readonly #timeoutMs: number;
	#timer: clients.timeouts.SilenceTimer;

	/**
	 * @param firstTimeoutMs - Time limit until the first restart, in milliseconds.
	 * @param timeoutMs - Time limit after each restart, in milliseconds.
	 */
	constructor(firstTimeoutMs: number, timeoutMs: number) {
		this.#timeoutMs = timeoutMs;
		this.#timer = this.#startTimer(firstTimeoutMs);
	}

	/** Aborted when the time limit passes. */
	get signal(): AbortSignal {
		return this.#controller.signal;
	}

	/** Records progress and restarts the timer. */
	restart(): void {
		this.stop();
		this.#timer = this.#startTimer(this.#timeoutMs);
	}

	/** Stops the timer until the next `restart`. */
	stop(): void {
		this.#timer.clear();
	}

	#startTimer(limitMs: number): clients.timeouts.SilenceTimer {
		return new clients.timeouts.SilenceTimer(limitMs, () => {
			this.#controller.abort('no progress');
		});
	}
}

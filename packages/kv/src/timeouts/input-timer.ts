import * as inputWait from './input-wait.js';

/** Longest time of a timer of Node, in milliseconds; timers that are longer, or infinite, fire at once. */
const maxTimerMs = 2_147_483_647;

/** Returns a duration in milliseconds as the time of a timer: one that is too long for a timer becomes the longest, about 25 days. */
export function toTimerMs(durationMs: number): number {
	return Math.min(durationMs, maxTimerMs);
}

/**
 * A timer for decisions that rest on what has not arrived by the end of a time. It calls back after the input that had arrived by then was
 * read, unless {@link InputTimer.clear} was called meanwhile.
 */
export class InputTimer {
	readonly #timer: NodeJS.Timeout;
	#wait: inputWait.InputWait | undefined;

	/** @param timeoutMs - Time in milliseconds; may be infinite. */
	constructor(timeoutMs: number, onTimeout: () => void) {
		this.#timer = setTimeout(() => {
			this.#wait = new inputWait.InputWait(onTimeout);
		}, toTimerMs(timeoutMs));
	}

	/** Begins the time anew. */
	refresh(): void {
		this.#wait?.cancel();
		this.#timer.refresh();
	}

	/** Lets the process end before the timer does. */
	unref(): void {
		this.#timer.unref();
	}

	/** Cancels the timer. */
	clear(): void {
		clearTimeout(this.#timer);
		this.#wait?.cancel();
	}
}

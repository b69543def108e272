import * as inputTimer from './input-timer.js';

/** Delay of a timer from which on the event loop counts as blocked, in milliseconds. */
const minBlockedMs = 50;
/** Parts of a wait, each with a timer of its own, so that a block in the middle of the wait is noticed. */
const partCount = 8;

/**
 * A timer for the silence of another process, which calls back each time after which nothing has arrived. Parts of the wait in which the event loop of this
 * process was blocked are repeated: meanwhile the other side may not have been sent what it waits for.
 */
export class SilenceTimer {
	readonly #timer: inputTimer.InputTimer;
	readonly #partMs: number;
	#endedParts = 0;
	#repeatedParts = 0;
	#dueAt: number;

	/** @param timeoutMs - Time without input after which the other side counts as silent, in milliseconds; may be infinite. */
	constructor(timeoutMs: number, private readonly onSilent: () => void) {
		this.#partMs = Math.ceil(timeoutMs / partCount);
		this.#dueAt = performance.now() + this.#partMs;
		this.#timer = new inputTimer.InputTimer(this.#partMs, () => {
			this.#endPart();
		});
	}

	/** Begins the wait anew. */
	refresh(): void {
		this.#endedParts = 0;
		this.#repeatedParts = 0;
		this.#startPart();
	}

	/** Cancels the timer, which can't be used afterwards. */
	clear(): void {
		this.#timer.clear();
	}

	#startPart(): void {
		this.#dueAt = performance.now() + this.#partMs;
		this.#timer.refresh();
	}

	/** As many parts are repeated at most as a wait has, so that it ends on a busy machine as well. */
	#endPart(): void {
		if (performance.now() - this.#dueAt >= minBlockedMs && this.#repeatedParts < partCount) {
			this.#repeatedParts += 1;
		} else {
			this.#endedParts += 1;
		}

		if (this.#endedParts < partCount) {
			this.#startPart();
		} else {
			this.onSilent();
		}
	}
}

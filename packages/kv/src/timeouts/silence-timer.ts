import * as inputTimer from './input-timer.js';

/** Delay of a timer from which on the event loop counts as blocked, in milliseconds. */
const minBlockedMs = 50;

/**
 * A timer for the silence of another process, which calls back each time after which nothing has arrived. A time for which the event loop of this
 * process was blocked at the end of the wait is added to it: meanwhile the other side may not have been sent what it waits for.
 */
export class SilenceTimer {
	readonly #timer: inputTimer.InputTimer;
	/** Second part of a wait that is prolonged. */
	#prolonging: inputTimer.InputTimer | undefined;
	#dueAt = 0;

	/** @param timeoutMs - Time without input after which the other side counts as silent, in milliseconds; may be infinite. */
	constructor(private readonly timeoutMs: number, private readonly onSilent: () => void) {
		this.#dueAt = performance.now() + timeoutMs;
		this.#timer = new inputTimer.InputTimer(timeoutMs, () => {
			this.#prolongOrEnd();
		});
	}

	/** Begins the wait anew. */
	refresh(): void {
		this.#prolonging?.clear();
		this.#dueAt = performance.now() + this.timeoutMs;
		this.#timer.refresh();
	}

	/** Cancels the timer, which can't be used afterwards. */
	clear(): void {
		this.#prolonging?.clear();
		this.#timer.clear();
	}

	/** A wait is prolonged once, so that it ends on a busy machine as well. */
	#prolongOrEnd(): void {
		const blockedMs = performance.now() - this.#dueAt;
		if (blockedMs < minBlockedMs) {
			this.onSilent();
			return;
		}

		this.#prolonging = new inputTimer.InputTimer(Math.min(blockedMs, this.timeoutMs), this.onSilent);
	}
}

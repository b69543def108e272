/** Longest time of a timer of Node, in milliseconds; timers that are longer, or infinite, fire at once. */
const maxTimerMs = 2_147_483_647;

/** Returns a duration in milliseconds as the time of a timer: one that is too long for a timer becomes the longest, about 25 days. */
export function toTimerMs(durationMs: number): number {
	return Math.min(durationMs, maxTimerMs);
}

/**
 * Waits until the input that has arrived at this process was read. Node runs the timers that are due before it reads sockets, so that after a time in which
 * the event loop was blocked, a timer can't know what has arrived.
 */
export async function waitForInput(): Promise<void> {
	return new Promise(resolve => {
		setImmediate(resolve);
	});
}

/** Longest turn of the event loop after which the input counts as read, in milliseconds. */
const maxTurnMs = 20;
/** Turns that are waited for at most, so that the wait ends on a busy machine as well. */
const maxTurns = 5;

/** Waits until all input was read but that of the last milliseconds: as long as turns of the event loop take longer, more may have arrived meanwhile. */
export async function waitForRecentInput(): Promise<void> {
	let turnMs = Infinity;
	for (let turns = 0; turns < maxTurns && turnMs > maxTurnMs; turns++) {
		const startedAt = performance.now();
		await waitForInput(); // eslint-disable-line no-await-in-loop -- Turns follow one another.
		turnMs = performance.now() - startedAt;
	}
}

/**
 * A timer for decisions that rest on what has not arrived by the end of a time. It calls back after the input that had arrived by then was
 * read, unless {@link InputTimer.clear} was called meanwhile.
 */
export class InputTimer {
	readonly #timer: NodeJS.Timeout;
	#immediate: NodeJS.Immediate | undefined;

	/** @param timeoutMs - Time in milliseconds; may be infinite. */
	constructor(timeoutMs: number, onTimeout: () => void) {
		this.#timer = setTimeout(() => {
			this.#immediate = setImmediate(onTimeout);
		}, toTimerMs(timeoutMs));
	}

	/** Begins the time anew. */
	refresh(): void {
		clearImmediate(this.#immediate);
		this.#timer.refresh();
	}

	/** Cancels the timer. */
	clear(): void {
		clearTimeout(this.#timer);
		clearImmediate(this.#immediate);
	}
}

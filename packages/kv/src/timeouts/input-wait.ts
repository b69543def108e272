import * as timers from 'node:timers/promises';

/** Duration of a turn of the event loop from which on it counts as blocked, in milliseconds. */
const minBlockedMs = 20;
/** Turns after which a wait ends also if each of them was blocked. */
const maxTurns = 5;

/**
 * Waits until the input that has arrived at this process was read. Node runs the timers that are due before it reads sockets, so that after a time
 * in which the event loop was blocked, a timer can't know what has arrived.
 */
export class InputWait {
	#immediate: NodeJS.Immediate;
	#turns = 0;

	constructor(private readonly onRead: () => void) {
		this.#immediate = this.#startTurn();
	}

	/** Ends the wait without a call. */
	cancel(): void {
		clearImmediate(this.#immediate);
	}

	/** What arrives while a turn is blocked is read in the next one. */
	#startTurn(): NodeJS.Immediate {
		const startedAt = performance.now();
		this.#turns += 1;
		return setImmediate(() => {
			if (performance.now() - startedAt >= minBlockedMs && this.#turns < maxTurns) {
				this.#immediate = this.#startTurn();
			} else {
				this.onRead();
			}
		});
	}
}

/** Waits until the event loop has read once what arrived since, unlike {@link waitForInput} also if a turn takes long. */
export async function waitForTurn(): Promise<void> {
	// The first one ends in the turn that is in progress.
	await timers.setImmediate();
	await timers.setImmediate();
}

/** Waits as {@link InputWait}. */
export async function waitForInput(): Promise<void> {
	return new Promise(resolve => {
		new InputWait(resolve); // eslint-disable-line no-new -- The wait runs by itself.
	});
}

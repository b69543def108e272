import * as inputTimer from './input-timer.js';
import * as inputWait from './input-wait.js';

/** An interval for decisions that rest on what has not arrived. It calls back each time after the input that had arrived was read. */
export class InputInterval {
	readonly #timer: NodeJS.Timeout;
	#isCleared = false;

	/** @param intervalMs - Time between two calls in milliseconds. */
	constructor(intervalMs: number, private readonly onTick: () => void) {
		this.#timer = setInterval(() => {
			void this.#tick();
		}, inputTimer.toTimerMs(intervalMs));
	}

	/** Cancels the interval; no call follows. */
	clear(): void {
		this.#isCleared = true;
		clearInterval(this.#timer);
	}

	async #tick(): Promise<void> {
		await inputWait.waitForInput();
		if (!this.#isCleared) {
			this.onTick();
		}
	}
}

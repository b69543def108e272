import * as sleepModule from '../util/sleep.js';

/** Faults in force that the work of a stand-in has to heed. */
export class FaultState {
	delayMs = 0;
	loseAnswersProbability = 0;
	dropEventsProbability = 0;
	/** Milliseconds from the arrival of a write to its effect. */
	lateWriteMs = 0;
	/** Whether load reports say that the endpoint is going away. */
	leaving = false;
	#frozen: Promise<void> | undefined;
	#thaw: (() => void) | undefined;

	/** Whether the stand-in is frozen. */
	get frozen(): boolean {
		return this.#frozen !== undefined;
	}

	/** Freezes until `clear`. */
	freeze(): void {
		this.#frozen ??= new Promise(resolve => {
			this.#thaw = resolve;
		});
	}

	/** Ends all faults. */
	clear(): void {
		this.delayMs = 0;
		this.loseAnswersProbability = 0;
		this.dropEventsProbability = 0;
		this.lateWriteMs = 0;
		this.leaving = false;
		this.#thaw?.();
		this.#frozen = undefined;
		this.#thaw = undefined;
	}

	/** Waits while frozen. */
	async whenThawed(): Promise<void> {
		while (this.#frozen) {
			await this.#frozen; // eslint-disable-line no-await-in-loop
		}
	}

	/** Waits while frozen, and then as long as answers are delayed. */
	async beforeAnswer(): Promise<void> {
		await this.whenThawed();
		await sleepModule.sleep(this.delayMs);
		await this.whenThawed();
	}
}

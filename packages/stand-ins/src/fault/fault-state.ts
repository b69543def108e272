import * as sleepModule from '../util/sleep.js';

/** Faults in force that the work of a stand-in has to heed. */
export class FaultState {
	delayMs = 0;
	loseAnswersProbability = 0;
	dropEventsProbability = 0;
	/** Milliseconds from the arrival of a write to its effect. */
	writeDelayMs = 0;
	/** Whether load reports say that the endpoint is going away. */
	isLeaving = false;
	#freezeEnd: Promise<void> | undefined;
	#endFreeze: (() => void) | undefined;

	/** Whether the stand-in is frozen. */
	get isFrozen(): boolean {
		return this.#freezeEnd !== undefined;
	}

	/** Freezes until `clear`. */
	freeze(): void {
		this.#freezeEnd ??= new Promise(resolve => {
			this.#endFreeze = resolve;
		});
	}

	/** Ends all faults. */
	clear(): void {
		this.delayMs = 0;
		this.loseAnswersProbability = 0;
		this.dropEventsProbability = 0;
		this.writeDelayMs = 0;
		this.isLeaving = false;
		this.#endFreeze?.();
		this.#freezeEnd = undefined;
		this.#endFreeze = undefined;
	}

	/** Waits while frozen. */
	async waitWhileFrozen(): Promise<void> {
		while (this.#freezeEnd) {
			await this.#freezeEnd; // eslint-disable-line no-await-in-loop
		}
	}

	/** Waits while frozen, and then as long as answers are delayed. */
	async waitBeforeAnswer(): Promise<void> {
		await this.waitWhileFrozen();
		await sleepModule.sleep(this.delayMs);
		await this.waitWhileFrozen();
	}
}

import * as sleepModule from '../util/sleep.js';

/** Faults in force that request handlers apply. */
export class FaultState {
	/** Delay of each response in milliseconds. */
	delayMs = 0;
	responseLossProbability = 0;
	dropEventsProbability = 0;
	/** Delay between the arrival of a write and its effect, in milliseconds. */
	writeDelayMs = 0;
	/** Whether load reports announce that the endpoint is leaving. */
	isLeaving = false;
	#freezeEnd: Promise<void> | undefined;
	#endFreeze: (() => void) | undefined;

	/** Whether the stand-in is frozen: it executes nothing and sends no responses. */
	get isFrozen(): boolean {
		return this.#freezeEnd !== undefined;
	}

	/** Freezes the stand-in until `clear` is called. */
	freeze(): void {
		this.#freezeEnd ??= new Promise(resolve => {
			this.#endFreeze = resolve;
		});
	}

	/** Clears all faults. */
	clear(): void {
		this.delayMs = 0;
		this.responseLossProbability = 0;
		this.dropEventsProbability = 0;
		this.writeDelayMs = 0;
		this.isLeaving = false;
		this.#endFreeze?.();
		this.#freezeEnd = undefined;
		this.#endFreeze = undefined;
	}

	/** Waits until the stand-in is not frozen. */
	async waitWhileFrozen(): Promise<void> {
		while (this.#freezeEnd) {
			await this.#freezeEnd; // eslint-disable-line no-await-in-loop
		}
	}

	/** Waits for the delay of responses, and while the stand-in is frozen. */
	async waitBeforeResponse(): Promise<void> {
		await this.waitWhileFrozen();
		await sleepModule.sleep(this.delayMs);
		await this.waitWhileFrozen();
	}
}

type Timer = {readonly at: number; readonly number: number; readonly run: () => void};

/** Runs timers in virtual time, each after all that the ones before it have started. */
export class VirtualTime {
	/** Present time in milliseconds. */
	now = 0;
	readonly #timers: Timer[] = [];
	#count = 0;

	/** Runs a function after a time. */
	schedule(ms: number, run: () => void): void {
		this.#count += 1;
		const timer: Timer = {at: this.now + Math.max(0, ms), number: this.#count, run};
		this.#timers.splice(this.#findIndexAfter(timer.at), 0, timer);
	}

	/** Runs all timers up to a time. */
	async runUntil(endsAt: number): Promise<void> {
		while (this.#timers[0] !== undefined && this.#timers[0].at <= endsAt) {
			const timer = this.#timers.shift()!;
			this.now = timer.at;
			timer.run();
			// All promises that the timer resolved are settled before the next one.
			await new Promise<void>(resolve => { // eslint-disable-line no-await-in-loop -- One timer after the other.
				setImmediate(resolve);
			});
		}

		this.now = endsAt;
	}

	/** Returns the index of the first timer that is later than a time. */
	#findIndexAfter(at: number): number {
		let low = 0;
		let high = this.#timers.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this.#timers[middle]!.at > at) {
				high = middle;
			} else {
				low = middle + 1;
			}
		}

		return low;
	}
}

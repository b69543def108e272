/** Longest time for which steps run in one turn of the event loop, in milliseconds. */
const maxStepsMs = 4;

/**
 * Runs short steps of expensive work between the turns of the event loop, in the order in which they were scheduled. They take at most half of the processor time as long as
 * they take all of their part of each turn, so that other work goes on.
 */
export class StepScheduler {
	#steps: Array<() => void> = [];
	#isWaiting = false;

	/** @param now - Returns the present time in milliseconds of a monotonic clock. */
	constructor(private readonly now: () => number) {}

	/** Number of steps that wait. */
	get size(): number {
		return this.#steps.length;
	}

	/** Runs a step in one of the next turns. */
	schedule(step: () => void): void {
		this.#steps.push(step);
		if (!this.#isWaiting) {
			this.#wait(0);
		}
	}

	#wait(ms: number): void {
		this.#isWaiting = true;
		const run = (): void => {
			this.#run();
		};

		if (ms === 0) {
			setImmediate(run);
		} else {
			setTimeout(run, ms);
		}
	}

	#run(): void {
		this.#isWaiting = false;
		const startedAt = this.now();
		let tookMs = 0;
		// A step may schedule another one. The steps of this turn are counted by time only.
		while (this.#steps.length > 0 && tookMs < maxStepsMs) {
			const steps = this.#steps;
			this.#steps = [];
			let index = 0;
			while (index < steps.length && tookMs < maxStepsMs) {
				steps[index]!();
				index += 1;
				tookMs = this.now() - startedAt;
			}

			this.#steps = [...steps.slice(index), ...this.#steps];
		}

		if (this.#steps.length > 0 && !this.#isWaiting) {
			this.#wait(tookMs);
		}
	}
}

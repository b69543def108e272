import * as perfHooks from 'node:perf_hooks';

/** Time sources of the gateway; decisions get the present time as an argument. */
export type Clocks = {
	/** Milliseconds of a clock that never steps; it stands still while the VM is suspended. */
	steadyNow(): number;
	/**
	 * Milliseconds of a clock that never steps back and counts suspensions, which show as a jump of the wall clock
	 * against the steady one. A wall clock that is set forward looks the same, so ages err to the old side.
	 */
	wallSafeNow(): number;
	/** Unix milliseconds; may step. Only for what VMs tell each other. */
	wallNow(): number;
};

/** Difference between the two clocks below which no suspension is assumed, in milliseconds: above any slewing. */
const jumpThresholdMs = 100;

/** Reads the clocks of the machine. */
export class SystemClocks implements Clocks {
	#steady = perfHooks.performance.now();
	#wall = Date.now();
	#skippedMs = 0;

	steadyNow(): number {
		return perfHooks.performance.now();
	}

	wallNow(): number {
		return Date.now();
	}

	wallSafeNow(): number {
		const steady = perfHooks.performance.now();
		const wall = Date.now();
		const skipped = (wall - this.#wall) - (steady - this.#steady);
		if (Math.abs(skipped) > jumpThresholdMs) {
			this.#skippedMs += Math.max(0, skipped);
			this.#wall = wall;
			this.#steady = steady;
		}

		return steady + this.#skippedMs;
	}
}

import * as perfHooks from 'node:perf_hooks';

/** Time sources of the gateway; decisions get the present time as an argument. */
export type Clocks = {
	/** Milliseconds of a clock that never steps; it stands still while the VM is suspended. */
	monotonicNow(): number;
	/**
	 * Milliseconds of a clock that never steps back and counts suspensions, which show as a jump of the wall clock
	 * against the steady one. A wall clock that is set forward looks the same, so ages err to the old side.
	 */
	suspendAwareNow(): number;
	/** Unix milliseconds; may step. Only for what VMs tell each other. */
	wallNow(): number;
};

/** Difference between the two clocks below which no suspension is assumed, in milliseconds: above any slewing. */
const suspensionThresholdMs = 100;

/** Reads the clocks of the machine. */
export class SystemClocks implements Clocks {
	#lastMonotonic = perfHooks.performance.now();
	#lastWall = Date.now();
	#suspendedMs = 0;

	monotonicNow(): number {
		return perfHooks.performance.now();
	}

	wallNow(): number {
		return Date.now();
	}

	suspendAwareNow(): number {
		const monotonic = perfHooks.performance.now();
		const wall = Date.now();
		const differenceMs = (wall - this.#lastWall) - (monotonic - this.#lastMonotonic);
		if (Math.abs(differenceMs) > suspensionThresholdMs) {
			this.#suspendedMs += Math.max(0, differenceMs);
			this.#lastWall = wall;
			this.#lastMonotonic = monotonic;
		}

		return monotonic + this.#suspendedMs;
	}
}

import * as perfHooks from 'node:perf_hooks';

/** Clocks of the gateway; code that makes decisions gets the current time as an argument. */
export type Clocks = {
	/** Milliseconds of the monotonic clock, which does not advance while the VM is suspended. */
	monotonicNow(): number;
	/**
	 * Milliseconds of a clock that never goes back and includes suspensions, which are detected by a jump of the wall clock
	 * relative to the monotonic clock. Setting the wall clock forward has the same effect, so ages may be overestimated.
	 */
	suspendAwareNow(): number;
	/** Milliseconds since the Unix epoch; may jump. Only for times that VMs exchange. */
	wallNow(): number;
};

/** One moment on both clocks of durations, in milliseconds. */
export type Instant = {
	/** By the monotonic clock, which does not advance while the VM is suspended. */
	readonly monotonic: number;
	/** By the clock that includes suspensions. */
	readonly suspendAware: number;
};

/** Reads both clocks of durations. */
export function readInstant(clock: Clocks): Instant {
	return {monotonic: clock.monotonicNow(), suspendAware: clock.suspendAwareNow()};
}

/** Jump of the wall clock above which a suspension is assumed, in milliseconds; larger than any slewing. */
const suspensionThresholdMs = 100;

/** Reads the clocks of the system. */
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

import * as core from '@bluebellmast/core';

/** The retry windows of all pools. */
export class RetryWindows {
	readonly #windows = new Map<core.routing.PoolName, core.fleet.RetryWindow>();

	constructor(private readonly limits: core.fleet.RetryWindowLimits) {}

	/**
	 * Returns the window of a pool; creates it on first use. It must not be kept, since windows that count nothing any more are dropped
	 * when another pool gets its first one.
	 */
	of(pool: core.routing.PoolName, now: number): core.fleet.RetryWindow {
		const known = this.#windows.get(pool);
		if (known !== undefined) {
			return known;
		}

		this.#dropIdle(now);
		const window = new core.fleet.RetryWindow(this.limits);
		this.#windows.set(pool, window);
		return window;
	}

	#dropIdle(now: number): void {
		for (const [pool, window] of this.#windows) {
			if (window.isIdle(now)) {
				this.#windows.delete(pool);
			}
		}
	}
}

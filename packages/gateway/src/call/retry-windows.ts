import * as core from '@bluebellmast/core';

/** The retry windows of all pools. */
export class RetryWindows {
	readonly #windows = new Map<core.routing.PoolName, core.fleet.RetryWindow>();

	constructor(private readonly limits: core.fleet.RetryWindowLimits) {}

	/** Returns the window of a pool; creates it on first use. */
	of(pool: core.routing.PoolName): core.fleet.RetryWindow {
		const known = this.#windows.get(pool);
		if (known !== undefined) {
			return known;
		}

		const window = new core.fleet.RetryWindow(this.limits);
		this.#windows.set(pool, window);
		return window;
	}
}

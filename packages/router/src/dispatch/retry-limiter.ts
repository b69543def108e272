import * as core from '@bluebellmast/core';

/** The retry budget of one router: retries are a share of first tries. */
export class RetryLimiter {
	#budget: core.request.RetryBudget;

	constructor(options: core.request.RetryBudgetOptions = {}) {
		this.#budget = core.request.createRetryBudget(options);
	}

	/** Whether a retry may be made. */
	canRetry(): boolean {
		return core.request.canRetry(this.#budget);
	}

	/** Counts the first try of a request. */
	countFirstAttempt(): void {
		this.#budget = core.request.recordFirstAttempt(this.#budget);
	}

	/** Counts a retry. */
	countRetry(): void {
		this.#budget = core.request.spendRetry(this.#budget);
	}
}

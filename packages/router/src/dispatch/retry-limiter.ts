import * as core from '@bluebellmast/core';

/** Retry budget of one router: limits retries to a share of the first attempts. */
export class RetryLimiter {
	#budget: core.request.RetryBudget;

	constructor(options: core.request.RetryBudgetOptions = {}) {
		this.#budget = core.request.createRetryBudget(options);
	}

	/** Returns whether the budget allows another retry. */
	canRetry(): boolean {
		return core.request.canRetry(this.#budget);
	}

	/** Counts the first attempt of a request, which adds to the budget. */
	countFirstAttempt(): void {
		this.#budget = core.request.recordFirstAttempt(this.#budget);
	}

	/** Counts a retry, which is taken from the budget. */
	countRetry(): void {
		this.#budget = core.request.spendRetry(this.#budget);
	}
}

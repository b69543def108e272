/** Token bucket that limits retries to a ratio of the first attempts, so that retries do not multiply the load during a failure. */
export type RetryBudget = {
	/** Number of retries that are allowed now; may be fractional. */
	readonly tokens: number;
	/** Retries that each first attempt adds. */
	readonly retryRatio: number;
	/** Maximum number of saved retries. */
	readonly maxTokens: number;
};

/** Options of {@link createRetryBudget}. */
export type RetryBudgetOptions = {
	/** Retries that each first attempt adds; 0.1 by default. */
	readonly retryRatio?: number;
	/** Maximum number of saved retries, which is also the initial number; 20 by default. */
	readonly maxTokens?: number;
};

/** Creates a full budget. */
export function createRetryBudget(options: RetryBudgetOptions = {}): RetryBudget {
	const {retryRatio = 0.1, maxTokens = 20} = options;
	return {tokens: maxTokens, retryRatio, maxTokens};
}

/** Returns the budget after a first attempt. */
export function recordFirstAttempt(budget: RetryBudget): RetryBudget {
	return {...budget, tokens: Math.min(budget.maxTokens, budget.tokens + budget.retryRatio)};
}

/** Returns whether a retry is allowed. */
export function canRetry(budget: RetryBudget): boolean {
	return budget.tokens >= 1;
}

/** Returns the budget after a retry. The caller must check {@link canRetry} first. */
export function spendRetry(budget: RetryBudget): RetryBudget {
	return {...budget, tokens: Math.max(0, budget.tokens - 1)};
}

/** Limits retries to a share of first tries, so that retries cannot multiply a fault. */
export type RetryBudget = {
	/** Retries that may be made now. */
	readonly tokens: number;
	/** Retries that each first try adds. */
	readonly retryRatio: number;
	/** Retries that may be saved up. */
	readonly maxTokens: number;
};

/** Options of {@link createRetryBudget}. */
export type RetryBudgetOptions = {
	/** Retries that each first try adds; 0.1 by default. */
	readonly retryRatio?: number;
	/** Retries that may be saved up, which a new budget holds; 20 by default. */
	readonly maxTokens?: number;
};

/** Creates a full budget. */
export function createRetryBudget(options: RetryBudgetOptions = {}): RetryBudget {
	const {retryRatio = 0.1, maxTokens = 20} = options;
	return {tokens: maxTokens, retryRatio, maxTokens};
}

/** Counts a first try. */
export function recordFirstAttempt(budget: RetryBudget): RetryBudget {
	return {...budget, tokens: Math.min(budget.maxTokens, budget.tokens + budget.retryRatio)};
}

/** Returns whether a retry may be made. */
export function canRetry(budget: RetryBudget): boolean {
	return budget.tokens >= 1;
}

/** Counts a retry; the caller has asked {@link canRetry} first. */
export function spendRetry(budget: RetryBudget): RetryBudget {
	return {...budget, tokens: Math.max(0, budget.tokens - 1)};
}

/** Figures of one run. */
export type RunResult = {
	readonly deployment: string;
	readonly policy: string;
	/** Share of the measured capacity, or 0 in a closed loop. */
	readonly load: number;
	readonly fault: string;
	readonly seed: number;
	readonly requestsPerSecond: number;
	readonly requests: number;
	readonly answered: number;
	/** Requests without a first token within the deadline, or without any endpoint. */
	readonly refused: number;
	/** Attempts after the first. */
	readonly retries: number;
	/** Share of prompt tokens that came from a cache. */
	readonly hitRate: number;
	/** Milliseconds; a refused request counts as the deadline. */
	readonly firstTokenP50Ms: number;
	readonly firstTokenP95Ms: number;
	readonly firstTokenP99Ms: number;
	/** Thousands of tokens computed again that some engine of the run had computed before. */
	readonly wastedKilotokens: number;
	/** Wasted tokens for each answered request. */
	readonly wastedTokensPerRequest: number;
	readonly answeredPerSecond: number;
};

/** What one request came to. */
export type RequestOutcome = {
	readonly atMs: number;
	readonly firstTokenMs: number;
	readonly isAnswered: boolean;
	readonly promptTokens: number;
	readonly cachedTokens: number;
	readonly wastedTokens: number;
	readonly retries: number;
};

/** Returns the value at a quantile of ascending values, 0 when there are none. */
export function quantile(sorted: readonly number[], share: number): number {
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

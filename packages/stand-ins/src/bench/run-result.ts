/** Result of one placement run. */
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
	/** Share of prompt tokens that were cached. */
	readonly hitRate: number;
	/** Percentiles of the time to first token, in milliseconds; a refused request counts as the deadline. */
	readonly firstTokenP50Ms: number;
	readonly firstTokenP95Ms: number;
	readonly firstTokenP99Ms: number;
	/** Thousands of prompt tokens that were computed again although an engine of the run had computed them before. */
	readonly wastedKilotokens: number;
	/** Wasted tokens per answered request. */
	readonly wastedTokensPerRequest: number;
	readonly answeredPerSecond: number;
};

/** Outcome of one request. */
export type RequestOutcome = {
	/** Scheduled arrival, in milliseconds from the start of the run. */
	readonly atMs: number;
	readonly firstTokenMs: number;
	readonly isAnswered: boolean;
	readonly promptTokens: number;
	readonly cachedTokens: number;
	readonly wastedTokens: number;
	readonly retries: number;
};

/** Returns the quantile `share` (0 to 1) of values in ascending order, or 0 when there are none. */
export function quantile(sorted: readonly number[], share: number): number {
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

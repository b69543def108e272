import type * as ids from './ids.js';

/** Rate limits of a client account, over all routers together. */
export type AccountLimits = {
	/** Sustained requests per second. */
	readonly requestsPerSecond: number;
	/** Number of requests that may arrive at once above the sustained rate. */
	readonly burst: number;
	/** Sustained tokens per second, prompt and generated tokens together. */
	readonly tokensPerSecond: number;
};

/** A client account, as the manifest describes it. */
export type ClientAccount = {
	readonly id: ids.AccountId;
	/** SHA-256 of each bearer key, as lower-case hex. */
	readonly keyHashes: readonly string[];
	/** Weight of the account when capacity is divided among accounts. */
	readonly share: number;
	readonly limits: AccountLimits;
	/** Models and services that the account may use; empty means all. */
	readonly allowed: readonly string[];
};

import type * as ids from './ids.js';

/** Limits of a client account, over all routers together. */
export type AccountLimits = {
	/** Requests a second in steady use. */
	readonly requestsPerSecond: number;
	/** Requests that may come at once beyond the steady rate. */
	readonly burst: number;
	/** Prompt and generated tokens a second in steady use. */
	readonly tokensPerSecond: number;
};

/** A client account. */
export type ClientAccount = {
	readonly id: ids.AccountId;
	/** SHA-256 of each bearer key, as lower-case hex. */
	readonly keyHashes: readonly string[];
	/** Weight of the account when capacity is shared out. */
	readonly share: number;
	readonly limits: AccountLimits;
	/** Models and services that the account may use; empty means all. */
	readonly allowed: readonly string[];
};

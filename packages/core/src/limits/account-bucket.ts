import type * as model from '../model/index.js';

const millisecondsPerSecond = 1000;

/** Token bucket of a client account over all routers, as one router sees it. */
export type AccountBucket = {
	/** Remaining requests; negative when the routers together have admitted more than the limit. */
	readonly requests: number;
	/** Remaining prompt and generated tokens; negative when requests used more tokens than remained. */
	readonly tokens: number;
	/** When the bucket was last refilled, in milliseconds. */
	readonly filledAt: number;
};

/** Returns the token capacity of an account's bucket. */
function tokenCapacity(limits: model.AccountLimits): number {
	const burstSeconds = limits.requestsPerSecond > 0 ? limits.burst / limits.requestsPerSecond : 0;
	return limits.tokensPerSecond * Math.max(1, burstSeconds);
}

/** Creates a full bucket. */
export function createBucket(limits: model.AccountLimits, now: number): AccountBucket {
	return {requests: Math.max(1, limits.burst), tokens: tokenCapacity(limits), filledAt: now};
}

/** Refills a bucket at the account's rates up to its capacity. */
export function fillBucket(bucket: AccountBucket, limits: model.AccountLimits, now: number): AccountBucket {
	const seconds = Math.max(0, now - bucket.filledAt) / millisecondsPerSecond;
	return {
		requests: Math.min(Math.max(1, limits.burst), bucket.requests + (limits.requestsPerSecond * seconds)),
		tokens: Math.min(tokenCapacity(limits), bucket.tokens + (limits.tokensPerSecond * seconds)),
		filledAt: Math.max(now, bucket.filledAt),
	};
}

/** Takes usage from a bucket, whose debt never exceeds `maxDebtSeconds` of the account's rates. */
export function takeFromBucket(
	bucket: AccountBucket,
	limits: model.AccountLimits,
	taken: {readonly requests: number; readonly tokens: number},
	maxDebtSeconds: number,
): AccountBucket {
	return {
		requests: Math.max(bucket.requests - taken.requests, -limits.requestsPerSecond * maxDebtSeconds),
		tokens: Math.max(bucket.tokens - taken.tokens, -limits.tokensPerSecond * maxDebtSeconds),
		filledAt: bucket.filledAt,
	};
}

/** Returns the milliseconds until the bucket admits a request: 0 for at once, `Infinity` for never. */
export function msUntilAdmission(bucket: AccountBucket, limits: model.AccountLimits): number {
	const requestsMs = bucket.requests >= 1 ? 0 : (1 - bucket.requests) / limits.requestsPerSecond * millisecondsPerSecond;
	const tokensMs = bucket.tokens > 0 ? 0 : (1 - bucket.tokens) / limits.tokensPerSecond * millisecondsPerSecond;
	return Math.max(requestsMs, tokensMs);
}

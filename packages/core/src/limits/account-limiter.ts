import type * as model from '../model/index.js';
import * as accountBucket from './account-bucket.js';
import type * as usageRecord from './usage-record.js';

/** Maximum debt of a bucket, in seconds of the account's rates; bounds the wait caused by the usage of other routers. */
const maxDebtSeconds = 2;

/**
 * Enforces the limits of client accounts over all routers. Each router has the whole bucket of an account. It takes its own
 * admissions from the bucket at once and those of other routers when their usage records arrive, so it refuses too late rather
 * than too early.
 */
export type AccountLimiter = {
	readonly buckets: ReadonlyMap<model.AccountId, accountBucket.AccountBucket>;
	/** Usage admitted by this router since its start. */
	readonly own: ReadonlyMap<model.AccountId, usageRecord.AccountUsage>;
	/** Latest usage record of each other router. */
	readonly others: ReadonlyMap<model.VmId, usageRecord.UsageRecord>;
	readonly sequence: number;
};

/** Result of {@link admitRequest}. */
export type LimitAdmission = {
	readonly limiter: AccountLimiter;
	/** Milliseconds until a retry can succeed; 0 if the request is admitted, `Infinity` if a retry never succeeds. */
	readonly waitMs: number;
};

type Usage = {
	readonly requests: number;
	readonly tokens: number;
};

/** Creates a limiter without any usage. */
export function createAccountLimiter(): AccountLimiter {
	return {
		buckets: new Map(), own: new Map(), others: new Map(), sequence: 0,
	};
}

function refilledBucket(limiter: AccountLimiter, account: model.ClientAccount, now: number): accountBucket.AccountBucket {
	const bucket = limiter.buckets.get(account.id);
	return bucket === undefined
		? accountBucket.createBucket(account.limits, now)
		: accountBucket.fillBucket(bucket, account.limits, now);
}

function takeUsage(limiter: AccountLimiter, account: model.ClientAccount, usage: Usage, now: number): AccountLimiter {
	const bucket = accountBucket.takeFromBucket(refilledBucket(limiter, account, now), account.limits, usage, maxDebtSeconds);
	return {...limiter, buckets: new Map(limiter.buckets).set(account.id, bucket)};
}

/** Adds usage of this router, at admission or later, such as generated tokens; negative usage is a refund. */
export function countUsage(limiter: AccountLimiter, account: model.ClientAccount, usage: Usage, now: number): AccountLimiter {
	const before = limiter.own.get(account.id) ?? {account: account.id, requests: 0, tokens: 0};
	const after = {
		account: account.id, requests: before.requests + usage.requests, tokens: before.tokens + usage.tokens,
	};
	return {...takeUsage(limiter, account, usage, now), own: new Map(limiter.own).set(account.id, after)};
}

/** Admits a request of an account with its prompt tokens, or returns the time until a retry can succeed. */
export function admitRequest(
	limiter: AccountLimiter,
	account: model.ClientAccount,
	promptTokens: number,
	now: number,
): LimitAdmission {
	const waitMs = accountBucket.msUntilAdmission(refilledBucket(limiter, account, now), account.limits);
	return waitMs > 0
		? {limiter, waitMs}
		: {limiter: countUsage(limiter, account, {requests: 1, tokens: promptTokens}, now), waitMs: 0};
}

function isNewer(record: usageRecord.UsageRecord, known: usageRecord.UsageRecord | undefined): boolean {
	return known?.incarnation !== record.incarnation || known.sequence < record.sequence;
}

/**
 * Applies the usage record of another router. The first record of a router is the baseline, whose usage is not counted; after a
 * restart of that router, usage is counted from 0. Returns the same limiter if the record is not newer.
 */
export function applyUsageRecord(
	limiter: AccountLimiter,
	record: usageRecord.UsageRecord,
	accounts: readonly model.ClientAccount[],
	now: number,
): AccountLimiter {
	const known = limiter.others.get(record.vm);
	if (!isNewer(record, known)) {
		return limiter;
	}

	let next: AccountLimiter = {...limiter, others: new Map(limiter.others).set(record.vm, record)};
	if (known === undefined) {
		return next;
	}

	const previous = known.incarnation === record.incarnation ? known.accounts : [];
	const before = new Map(previous.map(usage => [usage.account, usage]));
	for (const usage of record.accounts) {
		const account = accounts.find(item => item.id === usage.account);
		const last = before.get(usage.account) ?? {requests: 0, tokens: 0};
		if (account !== undefined) {
			const added = {requests: usage.requests - last.requests, tokens: usage.tokens - last.tokens};
			next = takeUsage(next, account, added, now);
		}
	}

	return next;
}

/** Creates the next usage record of this router. */
export function nextUsageRecord(
	limiter: AccountLimiter,
	self: {readonly vm: model.VmId; readonly incarnation: model.Incarnation},
): {readonly limiter: AccountLimiter; readonly record: usageRecord.UsageRecord} {
	const sequence = limiter.sequence + 1;
	const record = {
		vm: self.vm, incarnation: self.incarnation, sequence, accounts: [...limiter.own.values()],
	};
	return {limiter: {...limiter, sequence}, record};
}

function retainKeys<Value>(map: ReadonlyMap<string, Value>, keys: ReadonlySet<string>): ReadonlyMap<string, Value> {
	return [...map.keys()].every(key => keys.has(key)) ? map : new Map([...map].filter(([key]) => keys.has(key)));
}

/** Removes the records of routers that are not live, and accounts that are no longer in the manifest. Maps of which nothing is removed stay the same. */
export function retainListed(
	limiter: AccountLimiter,
	listed: {readonly routers: readonly model.VmId[]; readonly accounts: readonly model.ClientAccount[]},
): AccountLimiter {
	const accounts = new Set(listed.accounts.map(account => account.id));
	return {
		...limiter,
		buckets: retainKeys(limiter.buckets, accounts),
		own: retainKeys(limiter.own, accounts),
		others: retainKeys(limiter.others, new Set(listed.routers)),
	};
}

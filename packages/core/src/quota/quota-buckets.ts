import type * as quota from './quota.js';
import * as quotaMessage from './quota-message.js';

type Loan = {
	readonly share: number;
	/** In milliseconds of the keeper's clock. */
	readonly until: number;
};

/** The shares that a keeper holds of the accounts of one partition. */
type HeldShares = {
	/** By the VM that lends them. */
	readonly loans: Map<string, Loan>;
	/** Sum of the shares that have not ended by `updatedAt`. */
	total: number;
	/** Integral of the sum over time, in milliseconds: what an account accrues in the time of 1 share of 1. */
	accruedMs: number;
	updatedAt: number;
};

/** Units of an account. */
type AccountUnits = quotaMessage.ReturnedUnits & {readonly partition: number};

type Bucket = {
	readonly partition: number;
	units: number;
	/** {@link HeldShares.accruedMs} at the last refill. */
	accruedMs: number;
	/** Time at which the requests that were refused so far would fit. */
	bookedUntil: number;
	usedAt: number;
	/** Moving average of the granted units a second, at `usedAt`. */
	grantedPerSecond: number;
};

/** Bounds of the buckets. */
export type QuotaBucketsOptions = {
	/** Part of the slack that is added to the burst, so that requests fit that are larger or arrive together. */
	readonly slackShare: number;
	/** Part of the slack that an account has at a keeper that has just started, which knows nothing of its usage. */
	readonly startShare: number;
	/** Time after the start of the process in which that holds, in milliseconds. */
	readonly startMs: number;
	/** Time until a retry where nothing is accrued, in milliseconds. */
	readonly unheldRetryMs: number;
	/** Number of buckets above which those that are full are dropped. */
	readonly maxIdleBuckets: number;
};

/** Leaves a quarter of the slack for VMs that count different numbers of members. */
export const defaultQuotaBucketsOptions: QuotaBucketsOptions = {
	slackShare: 0.5, startShare: 0.25, startMs: 5000, unheldRetryMs: 500, maxIdleBuckets: 1000,
};

const msPerSecond = 1000;
/** Least time until a retry, in milliseconds. */
const minRetryMs = 10;
/** Time constant of the average usage of an account, in milliseconds. */
const usageMs = 2000;
/** Least units that a bucket can hold, so that an account whose burst is 0 gets its rate. */
const minBurst = 1;
/** Largest sum of shares that counts; above 1 the VMs that lend count different numbers of members. */
const maxHeldShare = 1;

/**
 * Buckets of the accounts whose shares this VM holds. They are refilled by the sum of the shares that are lent to it at the moment, so that the buckets of all VMs
 * together never get more than the quota. Times are in milliseconds of a clock that includes suspensions of the VM.
 */
export class QuotaBuckets {
	readonly #held = new Map<number, HeldShares>();
	readonly #buckets = new Map<string, Bucket>();

	/** @param startedAt - When the process started. */
	constructor(
		private readonly bounds: quota.QuotaBounds,
		private readonly startedAt = -Infinity,
		private readonly options: QuotaBucketsOptions = defaultQuotaBucketsOptions,
	) {}

	/** Number of accounts with a bucket. */
	get size(): number {
		return this.#buckets.size;
	}

	/** Records that a VM lends its share of a partition until the given time. */
	setLoan(partition: number, vm: string, loan: Loan, now: number): void {
		const held = this.#update(partition, now);
		held.loans.set(vm, loan);
		this.#update(partition, now);
	}

	/** Ends the loan of one VM. */
	endLoan(partition: number, vm: string, now: number): void {
		this.#update(partition, now).loans.delete(vm);
		this.#update(partition, now);
	}

	/** Ends all loans. @returns The VMs that lent shares. */
	endAllLoans(now: number): Set<string> {
		const lenders = new Set<string>();
		for (const partition of this.#held.keys()) {
			const held = this.#update(partition, now);
			for (const vm of held.loans.keys()) {
				lenders.add(vm);
			}

			held.loans.clear();
		}

		return lenders;
	}

	/** Removes all buckets. @returns The units that they had. */
	takeAll(): quotaMessage.ReturnedUnits[] {
		const taken = [...this.#buckets].filter(([, {units}]) => units > 0).map(([account, {units}]) => ({account, units}));
		this.#buckets.clear();
		return taken;
	}

	/** Returns the sum of the shares that are held of a partition. */
	getHeldShare(partition: number, now: number): number {
		return this.#update(partition, now).total;
	}

	/** Takes the units of an attempt from the bucket of an account, or returns when they would fit. */
	take({account, partition, units}: AccountUnits, limits: quota.AccountQuota, now: number): quotaMessage.QuotaDecision {
		const held = this.#update(partition, now);
		const bucket = this.#fill({account, partition}, held, limits);
		bucket.grantedPerSecond *= Math.exp((bucket.usedAt - now) / usageMs);
		bucket.usedAt = now;
		const state = {heldShare: held.total, availableUnits: bucket.units, usage: bucket.grantedPerSecond / limits.unitsPerSecond};
		if (units > this.#getCapacity(limits)) {
			return {outcome: quotaMessage.QuotaOutcome.TooLarge, retryAfterMs: Infinity, ...state};
		}

		if (bucket.units >= units) {
			bucket.units -= units;
			bucket.grantedPerSecond += units * msPerSecond / usageMs;
			return {outcome: quotaMessage.QuotaOutcome.Granted, retryAfterMs: 0, ...state};
		}

		const retryAfterMs = this.#book(bucket, units, limits.unitsPerSecond * held.total / msPerSecond, now);
		return {outcome: quotaMessage.QuotaOutcome.Exceeded, retryAfterMs, ...state};
	}

	/** Returns units that were taken and provably not used. */
	giveBack({account, partition, units}: AccountUnits, limits: quota.AccountQuota, now: number): void {
		const held = this.#update(partition, now);
		const bucket = this.#fill({account, partition}, held, limits);
		bucket.units = Math.min(this.#getCapacity(limits) * held.total, bucket.units + units);
	}

	/** If there are many buckets, drops those that are full, as a new one would be, and those of accounts without a quota. */
	removeIdle(partitionOf: (account: string) => number, findQuota: (account: string) => quota.AccountQuota | undefined, now: number): void {
		if (this.#buckets.size <= this.options.maxIdleBuckets) {
			return;
		}

		for (const [account, {bookedUntil, usedAt}] of this.#buckets) {
			const limits = findQuota(account);
			const partition = partitionOf(account);
			const held = this.#update(partition, now);
			const isFull = limits !== undefined && this.#fill({account, partition}, held, limits).units >= this.#getCapacity(limits) * held.total;
			if (now - usedAt > this.bounds.windowMs && bookedUntil <= now && (limits === undefined || isFull)) {
				this.#buckets.delete(account);
			}
		}
	}

	/** Returns the time until a refused request would fit after those that were refused before, so that their callers return one after the other. */
	#book(bucket: Bucket, units: number, unitsPerMs: number, now: number): number {
		if (unitsPerMs === 0) {
			return this.options.unheldRetryMs;
		}

		const fitsAt = Math.max(bucket.bookedUntil + (units / unitsPerMs), now + (Math.max(0, units - bucket.units) / unitsPerMs));
		bucket.bookedUntil = Math.min(fitsAt, now + this.bounds.windowMs);
		return Math.max(minRetryMs, bucket.bookedUntil - now);
	}

	#fill({account, partition}: Pick<AccountUnits, 'account' | 'partition'>, held: HeldShares, limits: quota.AccountQuota): Bucket {
		const known = this.#buckets.get(account);
		const bucket = known?.partition === partition ? known : this.#createBucket(partition, held, known === undefined);
		const accrued = limits.unitsPerSecond * (held.accruedMs - bucket.accruedMs) / msPerSecond;
		bucket.units = Math.min(this.#getCapacity(limits) * held.total, bucket.units + accrued);
		bucket.accruedMs = held.accruedMs;
		this.#buckets.set(account, bucket);
		return bucket;
	}

	/** @param isNew - Whether the account has had no bucket here, so that it has used nothing of what has accrued; it may have had one in another partition. */
	#createBucket(partition: number, held: HeldShares, isNew: boolean): Bucket {
		const isStarting = held.updatedAt - this.startedAt < this.options.startMs;
		return {
			partition,
			units: isNew && isStarting ? this.bounds.slack * this.options.startShare * held.total : 0,
			accruedMs: isNew ? 0 : held.accruedMs,
			bookedUntil: -Infinity,
			usedAt: held.updatedAt,
			grantedPerSecond: 0,
		};
	}

	/** Adds what has accrued since the last update; drops loans that have ended. */
	#update(partition: number, now: number): HeldShares {
		let held = this.#held.get(partition);
		if (held === undefined) {
			held = {
				loans: new Map(), total: 0, accruedMs: 0, updatedAt: now,
			};
			this.#held.set(partition, held);
		}

		const from = held.updatedAt;
		const to = Math.max(from, now);
		let total = 0;
		let accruedMs = 0;
		for (const [vm, {share, until}] of held.loans) {
			accruedMs += share * Math.max(0, Math.min(to, until) - from);
			if (until > to) {
				total += share;
			} else {
				held.loans.delete(vm);
			}
		}

		held.accruedMs += Math.min(accruedMs, (to - from) * maxHeldShare);
		held.total = Math.min(total, maxHeldShare);
		held.updatedAt = to;
		return held;
	}

	/** Returns the units that a bucket holds at most if all shares are held. */
	#getCapacity({burst}: quota.AccountQuota): number {
		return Math.max(minBurst, burst) + (this.bounds.slack * this.options.slackShare);
	}
}

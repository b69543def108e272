import * as pacedReturn from './paced-return.js';
import * as releaseRate from './release-rate.js';
import type * as waitRules from './wait-rules.js';

/** Time between two searches within which the end of a gap is known well enough to be learned, in milliseconds. */
const maxUncertaintyMs = 250;

/** Time after which a pool that was not searched is forgotten, in milliseconds. */
const unusedLifetimeMs = 600_000;

type Gap = {
	readonly startedAt: number;
	lastSeenAt: number;
	cause: waitRules.WaitCause;
};

type PoolRecord = {
	searchedAt: number;
	gap: Gap | undefined;
	/** Number of requests that wait for an endpoint of the pool. */
	waitingCount: number;
	returning: pacedReturn.PacedReturn | undefined;
	readonly releases: releaseRate.ReleaseRate;
	/** When the pool last had an endpoint again after a gap. */
	returnedAt: number;
};

/**
 * Tracks the times in which a pool has no endpoint that may be sent requests, and the return of requests after them. A pool stands for the
 * endpoints that serve the same requests; requests wait only for one that is known to have had an endpoint.
 */
export class PoolGaps {
	readonly #records = new Map<string, PoolRecord>();

	/** @param random - Returns a random number from 0 (inclusive) to 1 (exclusive). */
	constructor(private readonly rules: waitRules.WaitRules, private readonly random: () => number) {}

	/** Number of known pools. */
	get size(): number {
		return this.#records.size;
	}

	/** Returns whether a pool is known. */
	has(pool: string): boolean {
		return this.#records.has(pool);
	}

	/** Makes a pool known, which has or had an endpoint, and forgets those that were not searched for long. */
	add(pool: string, now: number): void {
		if (!this.#records.has(pool)) {
			this.#removeUnused(now);
			this.#records.set(pool, {
				searchedAt: now,
				gap: undefined, waitingCount: 0, returning: undefined, releases: new releaseRate.ReleaseRate(), returnedAt: -Infinity,
			});
		}
	}

	/** Records that a search found an endpoint. */
	recordEndpoint(pool: string, now: number): void {
		this.add(pool, now);
		const record = this.#records.get(pool)!;
		record.searchedAt = now;
		const {gap, waitingCount} = record;
		if (gap === undefined) {
			return;
		}

		const isEndKnown = now - gap.lastSeenAt <= maxUncertaintyMs;
		this.rules.recordDuration(gap.cause, (isEndKnown ? now : gap.lastSeenAt) - gap.startedAt, isEndKnown);
		record.gap = undefined;
		record.releases.recordEmpty();
		record.returnedAt = now;
		record.returning = waitingCount > 0
			? new pacedReturn.PacedReturn({waitingCount, gapMs: now - gap.startedAt, random: this.random()}, now)
			: undefined;
	}

	/**
	 * Records that a search found no endpoint.
	 *
	 * @param lastedMs - How long that has been so, in milliseconds.
	 */
	recordAbsence(pool: string, cause: waitRules.WaitCause, now: number, lastedMs = 0): void {
		const record = this.#records.get(pool);
		if (record === undefined) {
			return;
		}

		record.searchedAt = now;
		record.gap ??= {startedAt: now - lastedMs, lastSeenAt: now, cause};
		record.gap.lastSeenAt = now;
		record.gap.cause = cause;
		record.returning = undefined;
	}

	/** Returns whether a request may wait for the end of the present gap of a pool. */
	mayWait(pool: string, timeLeftMs: number, now: number): boolean {
		const gap = this.#records.get(pool)?.gap;
		return gap !== undefined && this.rules.mayWait({cause: gap.cause, elapsedMs: now - gap.startedAt, timeLeftMs});
	}

	/** Returns the cause of the present gap of a pool, and the expected time until its end in milliseconds; `undefined` if there is none. */
	findGap(pool: string, now: number): {readonly cause: waitRules.WaitCause; readonly expectedMs: number} | undefined {
		const gap = this.#records.get(pool)?.gap;
		return gap && {cause: gap.cause, expectedMs: this.rules.expectedMs(gap.cause, now - gap.startedAt)};
	}

	/** Returns when a pool last had an endpoint again after a gap; `-Infinity` if never. */
	returnedAt(pool: string): number {
		return this.#records.get(pool)?.returnedAt ?? -Infinity;
	}

	/** Counts a request that begins to wait for an endpoint of a pool. @returns A function that ends its wait. */
	countWaiting(pool: string, now: number): () => void {
		const record = this.#records.get(pool);
		if (record === undefined) {
			return () => undefined;
		}

		record.waitingCount += 1;
		record.releases.recordWaiting(now);
		return () => {
			record.waitingCount -= 1;
			if (record.waitingCount === 0) {
				record.releases.recordEmpty();
			}
		};
	}

	/** Returns whether requests are held back after a gap, so that the VMs do not send them all at once. */
	isHeldBack(pool: string, now: number): boolean {
		return this.#findReturning(pool, now)?.maySend(now) === false;
	}

	/** Returns whether a new request queues, since others that waited for the pool are sent one after another. */
	isReturning(pool: string, now: number): boolean {
		return this.#findReturning(pool, now) !== undefined;
	}

	/** Records that a request that waited is sent. */
	recordSent(pool: string, prefillTokens: number, now: number): void {
		const record = this.#records.get(pool);
		record?.returning?.recordSent();
		record?.releases.recordRelease(prefillTokens, now);
	}

	/** Returns the rate at which requests that wait for a pool are sent, in prompt tokens per millisecond; `Infinity` if it is not known. */
	releasedTokensPerMs(pool: string, now: number): number {
		return this.#records.get(pool)?.releases.tokensPerMs(now) ?? Infinity;
	}

	#removeUnused(now: number): void {
		for (const [pool, {searchedAt, waitingCount}] of this.#records) {
			if (waitingCount === 0 && now - searchedAt > unusedLifetimeMs) {
				this.#records.delete(pool);
			}
		}
	}

	#findReturning(pool: string, now: number): pacedReturn.PacedReturn | undefined {
		const record = this.#records.get(pool);
		if (record?.returning !== undefined && (record.waitingCount === 0 || record.returning.hasEnded(now))) {
			record.returning = undefined;
		}

		return record?.returning;
	}
}

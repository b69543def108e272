import * as util from '../util/index.js';

/** Limits and durations of the ledger; they must be equal on all routers. */
export type LedgerOptions = {
	/** Number of shards; must not change during the lifetime of a deployment. */
	readonly shardCount: number;
	/** Time for which an entry is stored. Afterwards a request with the same key can be executed again. */
	readonly retentionMs: number;
	/**
	 * Time after its recording within which an intent may be sent. Clock errors and process pauses of up to
	 * `retentionMs - sendWindowMs` cannot cause a request to be executed twice.
	 */
	readonly sendWindowMs: number;
	/** Time for which a withdrawn entry is stored. */
	readonly withdrawnRetentionMs: number;
	/** Maximum size of a shard, in bytes. */
	readonly maxShardBytes: number;
	/** Size above which a shard accepts no further intents, so that there is room for outcomes, in bytes. */
	readonly maxShardBytesForIntents: number;
	/** Maximum growth of an entry by its outcome; when it is exceeded only the status is stored, in bytes. */
	readonly maxOutcomeBytes: number;
	/** Minimum time between the starts of two commits of a shard. */
	readonly commitIntervalMs: number;
	/** Maximum sustained rate of writes per second of all shards and all routers together. */
	readonly maxWritesPerSecond: number;
	/** Maximum time for which a settlement waits to share a commit with an intent. */
	readonly settleDelayMs: number;
	/** Maximum number of operations in a commit. */
	readonly maxBatch: number;
	/** Maximum number of operations that wait for a shard. */
	readonly maxQueue: number;
	/** Time to wait for the shard's writer before the router commits the intent itself. */
	readonly handoverTimeoutMs: number;
	/** Delay after the first failed call; it doubles with each consecutive failure. */
	readonly retryDelayMs: number;
	readonly maxRetryDelayMs: number;
	/** Maximum time for which a request waits for its intent to be recorded. */
	readonly maxWaitMs: number;
	/** Maximum fraction of the time until its deadline for which a request waits for its intent to be recorded. */
	readonly maxWaitShare: number;
};

/**
 * Returns the options of a ledger: the defaults, overridden by the given changes.
 *
 * @throws InvariantError when an intent could be sent after its entry has expired.
 */
export function createLedgerOptions(changes: Partial<LedgerOptions> = {}): LedgerOptions {
	const {retentionMs = 3_600_000, sendWindowMs = retentionMs / 2} = changes;
	const isBounded = sendWindowMs < retentionMs;
	util.assertInvariant(
		isBounded,
		'ledger.send-before-expiry',
		() => `send window of ${sendWindowMs} ms is not shorter than the retention of ${retentionMs} ms`,
	);
	return {
		shardCount: 32,
		withdrawnRetentionMs: 60_000,
		maxShardBytes: 950_000,
		maxShardBytesForIntents: 800_000,
		maxOutcomeBytes: 2048,
		commitIntervalMs: 50,
		maxWritesPerSecond: 250,
		settleDelayMs: 500,
		maxBatch: 500,
		maxQueue: 2000,
		handoverTimeoutMs: 400,
		retryDelayMs: 20,
		maxRetryDelayMs: 1000,
		maxWaitMs: 2000,
		maxWaitShare: 0.3,
		...changes,
		retentionMs,
		sendWindowMs,
	};
}

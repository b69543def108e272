import * as util from '../util/index.js';

/** Limits and times of the ledger; equal on all routers. */
export type LedgerOptions = {
	/** Number of shards; fixed for the snapshot of a deployment. */
	readonly shardCount: number;
	/** Time that an entry is kept. A key may run again after it. */
	readonly retentionMs: number;
	/**
	 * Time from recording an intent within which it may be sent. Clock errors and pauses up to
	 * `retentionMs - sendWindowMs` cannot make a key run twice.
	 */
	readonly sendWindowMs: number;
	/** Time that a withdrawn entry is kept. */
	readonly withdrawnRetentionMs: number;
	/** Size that a shard does not exceed, in bytes. */
	readonly maxShardBytes: number;
	/** Size above which a shard takes no intents, so that outcomes find room, in bytes. */
	readonly maxIntentBytes: number;
	/** Size of an outcome's body above which only its status is kept, in bytes. */
	readonly maxOutcomeBytes: number;
	/** Shortest time between the beginnings of two commits of a shard. */
	readonly commitIntervalMs: number;
	/** Writes a second that all shards together may make in steady use, over all routers. */
	readonly maxWritesPerSecond: number;
	/** Longest time that a settlement waits for an intent to share a commit with. */
	readonly settleDelayMs: number;
	/** Operations in one commit. */
	readonly maxBatch: number;
	/** Operations that wait for one shard. */
	readonly maxQueue: number;
	/** Time to wait for the shard's writer before the router commits on its own. */
	readonly handoverTimeoutMs: number;
	/** Delay after a first failed call; doubles with each further one. */
	readonly retryDelayMs: number;
	readonly maxRetryDelayMs: number;
	/** Longest time that a request waits for its intent. */
	readonly maxWaitMs: number;
	/** Share of the time to the deadline that a request waits for its intent. */
	readonly maxWaitShare: number;
};

/**
 * Creates the options of a ledger from their defaults and the given changes.
 *
 * @throws InvariantError when an intent could be sent after its entry expired.
 */
export function createLedgerOptions(changes: Partial<LedgerOptions> = {}): LedgerOptions {
	const {retentionMs = 3_600_000, sendWindowMs = retentionMs / 2} = changes;
	const isBounded = sendWindowMs < retentionMs;
	util.assertInvariant(isBounded, 'ledger.send-before-expiry', () => `${sendWindowMs} ms to send, ${retentionMs} ms kept`);
	return {
		shardCount: 32,
		withdrawnRetentionMs: 60_000,
		maxShardBytes: 950_000,
		maxIntentBytes: 800_000,
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

import type * as purify from 'purify-ts';
import type * as kvError from './kv-error.js';

/** A key with its value and revision. */
export type KvEntry = {
	readonly key: string;
	readonly value: Uint8Array;
	/** Revision at which this key was last changed; revisions increase over all keys. */
	readonly revision: number;
	/** Era in which the entry was read, if the service states one. */
	readonly era?: number;
};

/** Result of `compareAndSwap` or `compareAndDelete`. */
export type KvSwapResult = {
	/** Whether the value was written, or the key deleted. */
	readonly swapped: boolean;
	/** Revision of the write; when nothing was written, the latest revision of the service at that time. */
	readonly revision: number;
	/** The present entry when nothing was written; `undefined` when the key does not exist. */
	readonly current?: KvEntry;
	/** Era of the revision, if the service states one. */
	readonly era?: number;
};

/** A lease; keys that are written with it are deleted when it expires or is revoked. */
export type KvLease = {
	readonly id: string;
	readonly ttlMs: number;
	/** Era in which the lease was granted, if the service states one. */
	readonly era?: number;
};

/** A change that a watch reports; `entry` is `undefined` when the key was deleted. */
export type KvChange = {
	readonly key: string;
	readonly entry?: KvEntry;
};

/** Receives the events of a watch. */
export type KvWatchListener = {
	onChange(change: KvChange): void;
	/** Called once when the watch fails, times out or is cancelled by the service; the caller must open a new one and read again. */
	onEnd(reason: string): void;
};

/** An open watch. */
export type KvWatch = {
	/** Ends the watch without calling `onEnd`. */
	close(): void;
};

/** Result of a call: the value, or the error. */
export type KvResult<Value> = Promise<purify.Either<kvError.KvError, Value>>;

/** Client of the platform's key-value service. */
export interface KeyValueClient { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	get(key: string): KvResult<KvEntry | undefined>;
	getPrefix(prefix: string): KvResult<readonly KvEntry[]>;
	/**
	 * Writes the value if the key's revision is the expected one; 0 means that the key does not exist.
	 * When the response is lost, the error is `outcome_unknown` and the caller must read the key to find out.
	 *
	 * @param era - Era of the expected revision and the lease; the call is not sent if a newer one is known.
	 */
	compareAndSwap(key: string, expectedRevision: number, value: Uint8Array, leaseId?: string, era?: number): KvResult<KvSwapResult>;
	/** Deletes the key if its revision is the expected one; `era` as in `compareAndSwap`. */
	compareAndDelete(key: string, expectedRevision: number, era?: number): KvResult<KvSwapResult>;
	grantLease(ttlMs: number): KvResult<KvLease>;
	keepLeaseAlive(lease: KvLease): KvResult<KvLease>;
	revokeLease(lease: KvLease): KvResult<void>;
	/** Watches one key, or all keys that start with it when `isPrefix` is set. */
	watch(key: string, isPrefix: boolean, listener: KvWatchListener): KvWatch;
}

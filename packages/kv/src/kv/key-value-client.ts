import type * as purify from 'purify-ts';
import type * as kvError from './kv-error.js';

/** A value with the revision that last changed it. */
export type KvEntry = {
	readonly key: string;
	readonly value: Uint8Array;
	/** Revision of the last change of this key; larger is newer. */
	readonly revision: number;
};

/** Result of a compare-and-swap. */
export type KvSwapResult = {
	/** Whether the value was written. */
	readonly swapped: boolean;
	/** Revision of the write, or of the service at the time when nothing was written. */
	readonly revision: number;
	/** What stands under the key now when nothing was written; absent when the key is absent. */
	readonly current?: KvEntry;
};

/** A lease. */
export type KvLease = {
	readonly id: string;
	readonly ttlMs: number;
};

/** A change seen by a watch; a deleted key has no entry. */
export type KvChange = {
	readonly key: string;
	readonly entry?: KvEntry;
};

/** Receives what a watch sees. */
export type KvWatchListener = {
	onChange(change: KvChange): void;
	/** The watch ended or went silent; the caller opens a new one and reads again. */
	onEnd(reason: string): void;
};

/** A watch that is under way. */
export type KvWatch = {
	close(): void;
};

/** Result of a call. */
export type KvResult<Value> = Promise<purify.Either<kvError.KvError, Value>>;

/** Client of the platform's key-value service, spoken to over the etcd v3 JSON gateway protocol. */
export interface KeyValueClient { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	get(key: string): KvResult<KvEntry | undefined>;
	getPrefix(prefix: string): KvResult<readonly KvEntry[]>;
	/**
	 * Writes when the key's revision is the expected one; 0 means absent.
	 * A lost answer gives `outcome_unknown`; the caller reads back.
	 */
	compareAndSwap(key: string, expectedRevision: number, value: Uint8Array, leaseId?: string): KvResult<KvSwapResult>;
	/** Deletes when the key's revision is the expected one. */
	compareAndDelete(key: string, expectedRevision: number): KvResult<KvSwapResult>;
	grantLease(ttlMs: number): KvResult<KvLease>;
	keepLeaseAlive(lease: KvLease): KvResult<KvLease>;
	revokeLease(lease: KvLease): KvResult<void>;
	/** Watches one key, or all below it when `prefix` is set. */
	watch(key: string, isPrefix: boolean, listener: KvWatchListener): KvWatch;
}

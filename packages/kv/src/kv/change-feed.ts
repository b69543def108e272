import type * as client from './key-value-client.js';

/** Entries under a prefix, as of a revision. */
export type KvSnapshot = {
	readonly entries: readonly client.KvEntry[];
	/** Revision from which changes are to be polled. */
	readonly revision: number;
};

/** Changes under a prefix since a revision. */
export type KvChanges = {
	readonly changes: readonly client.KvChange[];
	/** Revision from which the next poll goes on. */
	readonly revision: number;
};

/** Reads and follows prefixes by bounded polls, each of which confirms that nothing else has changed. */
export interface KvChangeFeed { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Reads all entries under a prefix. */
	snapshot(prefix: string): client.KvResult<KvSnapshot>;
	/**
	 * Waits for changes after a revision, for `waitMs` milliseconds at most; no change gives an empty list.
	 * `history_lost` asks for a new snapshot.
	 */
	poll(prefix: string, afterRevision: number, waitMs: number): client.KvResult<KvChanges>;
}

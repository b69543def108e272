import type * as client from './key-value-client.js';

/** The entries under a prefix at one revision. */
export type KvSnapshot = {
	readonly entries: readonly client.KvEntry[];
	/** Revision to pass to the first `poll`. */
	readonly revision: number;
	/** Era of the revision, if the service states one. */
	readonly era?: number;
};

/** The changes under a prefix after a revision. */
export type KvChanges = {
	readonly changes: readonly client.KvChange[];
	/** Revision to pass to the next `poll`. */
	readonly revision: number;
};

/** Options of a poll. */
export type KvPollOptions = {
	/** Era of the revision; the error is `era_crossed` if the service returned from a copy since then. */
	readonly era?: number;
	/** Aborts the poll. */
	readonly signal?: AbortSignal;
};

/** Reads a prefix and follows its changes by long polling; each poll returns every change in its range of revisions. */
export interface KvChangeFeed { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Reads all entries under a prefix. */
	snapshot(prefix: string): client.KvResult<KvSnapshot>;
	/**
	 * Returns the changes after a revision; waits up to `waitMs` milliseconds for the first and then returns an empty list.
	 * The error `history_lost` means that the caller must take a new snapshot.
	 */
	poll(prefix: string, afterRevision: number, waitMs: number, options?: KvPollOptions): client.KvResult<KvChanges>;
}

import type * as model from '../model/index.js';

/** What stands in the ledger about one idempotency key. */
export enum EntryState {
	/** The request may be sent by the router that recorded it, and by no other. */
	Intent = 'intent',
	/** The request was carried out. */
	Done = 'done',
	/** The request may have been carried out; it is never sent again. */
	Unknown = 'unknown',
	/** The request was never sent; the key is free for another attempt. */
	Withdrawn = 'withdrawn',
}

/** Answer that is kept for repeats of a key. */
export type RecordedOutcome = {
	/** HTTP status of the endpoint's answer. */
	readonly status: number;
	readonly contentType?: string;
	/** Bytes of the answer; absent when they were too many to keep. */
	readonly body?: Uint8Array;
};

/** The intent to send one request that may not be repeated. */
export type Intent = {
	readonly account: model.AccountId;
	/** Idempotency key that the caller chose. */
	readonly key: string;
	/** Digest of the request; another request with the same key is refused. */
	readonly digest: string;
	/** Router that will send it. */
	readonly vm: model.VmId;
	readonly incarnation: model.Incarnation;
	/** Unique over all routers and time. */
	readonly attempt: model.AttemptId;
	/** When it was recorded, in milliseconds since the epoch. */
	readonly at: number;
};

/** One entry of a shard. */
export type LedgerEntry = Intent & {
	readonly state: EntryState;
	readonly outcome?: RecordedOutcome;
};

/** How an attempt came out; told by the router that recorded the intent. */
export type Settlement = {
	readonly intent: Intent;
	readonly state: EntryState.Done | EntryState.Unknown | EntryState.Withdrawn;
	readonly outcome?: RecordedOutcome;
};

/** Returns the name of an entry within its shard. */
export function formatEntryKey(account: model.AccountId, key: string): string {
	return `${account.length}:${account}${key}`;
}

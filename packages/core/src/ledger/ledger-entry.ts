import type * as model from '../model/index.js';

/** State of the ledger entry of an idempotency key. */
export enum EntryState {
	/** The router that recorded the intent, and no other, may send the request. */
	Intent = 'intent',
	/** The request was executed. */
	Done = 'done',
	/** The request may have been executed; it is not sent again. */
	Unknown = 'unknown',
	/** The request was not executed; another attempt may use the key. */
	Withdrawn = 'withdrawn',
}

/** Response that is stored and replayed for repeated requests with the same key. */
export type RecordedOutcome = {
	/** HTTP status of the endpoint's response. */
	readonly status: number;
	readonly contentType?: string;
	/** Response body; absent when it was too large to store. */
	readonly body?: Uint8Array;
};

/** The intent to send a request that must not be executed more than once. */
export type Intent = {
	readonly account: model.AccountId;
	/** Idempotency key chosen by the caller. */
	readonly key: string;
	/** Digest of the request; a request with the same key and another digest is refused. */
	readonly digest: string;
	/** Router that sends the request. */
	readonly vm: model.VmId;
	readonly incarnation: model.Incarnation;
	/** Unique across all routers and over time. */
	readonly attempt: model.AttemptId;
	/** Time of recording, in milliseconds since the Unix epoch. */
	readonly at: number;
};

/** A ledger entry: an intent and its state. */
export type LedgerEntry = Intent & {
	readonly state: EntryState;
	readonly outcome?: RecordedOutcome;
};

/** The result of an attempt, reported by the router that recorded its intent. */
export type Settlement = {
	readonly intent: Intent;
	readonly state: EntryState.Done | EntryState.Unknown | EntryState.Withdrawn;
	readonly outcome?: RecordedOutcome;
};

/** Returns the key of an entry within its shard, which is unique over accounts and idempotency keys. */
export function formatEntryKey(account: model.AccountId, key: string): string {
	return `${account.length}:${account}${key}`;
}

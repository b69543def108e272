import * as util from '../util/index.js';
import * as ledgerEntry from './ledger-entry.js';
import type * as ledgerOptions from './ledger-options.js';

/** Upper bound of the encoded size of an entry without its strings and body: field names, state, time and status, in bytes. */
const entryOverheadBytes = 256;

/** The entries of a shard; immutable. */
export type LedgerShard = {
	readonly entries: ReadonlyMap<string, ledgerEntry.LedgerEntry>;
	/** Upper bound of the encoded size, in bytes. */
	readonly bytes: number;
};

/** A mutable copy of a shard. */
export type ShardDraft = {
	readonly entries: Map<string, ledgerEntry.LedgerEntry>;
	bytes: number;
	changed: boolean;
};

export const emptyShard: LedgerShard = {entries: new Map(), bytes: 0};

/** Returns the length of a string in UTF-8, in bytes. */
function countUtf8Bytes(text: string): number {
	let bytes = text.length;
	for (let index = 0; index < text.length; index += 1) {
		const code = text.charCodeAt(index); // eslint-disable-line unicorn/prefer-code-point
		if (code > 0x7F) {
			bytes += code > 0x7_FF ? 2 : 1;
		}
	}

	return bytes;
}

/** Returns an upper bound of the encoded size of an entry, in bytes. */
export function estimateEntryBytes(entry: ledgerEntry.LedgerEntry): number {
	const strings = [
		entry.account,
		entry.key,
		entry.digest,
		entry.vm,
		entry.incarnation,
		entry.attempt,
		entry.outcome?.contentType ?? '',
	];
	let bytes = entryOverheadBytes + (entry.outcome?.body?.length ?? 0);
	for (const string of strings) {
		bytes += countUtf8Bytes(string);
	}

	return bytes;
}

export function createShard(entries: readonly ledgerEntry.LedgerEntry[]): LedgerShard {
	const byKey = new Map(entries.map(entry => [ledgerEntry.formatEntryKey(entry.account, entry.key), entry]));
	let bytes = 0;
	for (const entry of byKey.values()) {
		bytes += estimateEntryBytes(entry);
	}

	return {entries: byKey, bytes};
}

/** Returns the entries of a shard as an array, for encoding. */
export function listEntries(shard: LedgerShard): ledgerEntry.LedgerEntry[] {
	return [...shard.entries.values()];
}

/** Returns a mutable copy of a shard. */
export function createDraft(shard: LedgerShard): ShardDraft {
	return {entries: new Map(shard.entries), bytes: shard.bytes, changed: false};
}

/**
 * Turns a draft into a shard.
 *
 * @throws InvariantError when the shard is larger than `maxShardBytes`.
 */
export function finishDraft(draft: ShardDraft, options: ledgerOptions.LedgerOptions): LedgerShard {
	util.assertInvariant(draft.bytes <= options.maxShardBytes, 'ledger.size-bound', () => `shard of ${draft.bytes} bytes exceeds its maximum size`);
	return {entries: draft.entries, bytes: draft.bytes};
}

/** Adds an entry or replaces the entry with the same key. */
export function putEntry(draft: ShardDraft, entry: ledgerEntry.LedgerEntry): void {
	removeEntry(draft, ledgerEntry.formatEntryKey(entry.account, entry.key));
	draft.entries.set(ledgerEntry.formatEntryKey(entry.account, entry.key), entry);
	draft.bytes += estimateEntryBytes(entry);
	draft.changed = true;
}

function removeEntry(draft: ShardDraft, entryKey: string): void {
	const entry = draft.entries.get(entryKey);
	if (entry === undefined) {
		return;
	}

	draft.entries.delete(entryKey);
	draft.bytes -= estimateEntryBytes(entry);
	draft.changed = true;
}

function isExpired(entry: ledgerEntry.LedgerEntry, now: number, options: ledgerOptions.LedgerOptions): boolean {
	const retentionMs = entry.state === ledgerEntry.EntryState.Withdrawn ? options.withdrawnRetentionMs : options.retentionMs;
	return now >= entry.at + retentionMs;
}

/** Removes entries whose retention has ended. This alone does not mark the draft as changed, so it causes no write. */
export function removeExpiredEntries(draft: ShardDraft, now: number, options: ledgerOptions.LedgerOptions): void {
	const {changed} = draft;
	for (const [entryKey, entry] of draft.entries) {
		if (isExpired(entry, now, options)) {
			removeEntry(draft, entryKey);
		}
	}

	draft.changed = changed;
}

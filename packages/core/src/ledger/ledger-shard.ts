import * as util from '../util/index.js';
import * as ledgerEntry from './ledger-entry.js';
import type * as ledgerOptions from './ledger-options.js';

/** Encoded size of an entry beside its texts: field names, state, time and status, with room to spare. */
const entryOverheadBytes = 256;

/** The entries of one shard; immutable. */
export type LedgerShard = {
	readonly entries: ReadonlyMap<string, ledgerEntry.LedgerEntry>;
	/** Upper bound of the encoded size. */
	readonly bytes: number;
};

/** A shard that is being changed. */
export type ShardDraft = {
	readonly entries: Map<string, ledgerEntry.LedgerEntry>;
	bytes: number;
	changed: boolean;
};

/** A shard without entries. */
export const emptyShard: LedgerShard = {entries: new Map(), bytes: 0};

/** Returns the length of a text in UTF-8. */
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

/** Returns an upper bound of the encoded size of an entry. */
export function estimateEntryBytes(entry: ledgerEntry.LedgerEntry): number {
	const texts = [
		entry.account,
		entry.key,
		entry.digest,
		entry.vm,
		entry.incarnation,
		entry.attempt,
		entry.outcome?.contentType ?? '',
	];
	let bytes = entryOverheadBytes + (entry.outcome?.body?.length ?? 0);
	for (const text of texts) {
		bytes += countUtf8Bytes(text);
	}

	return bytes;
}

/** Builds a shard from its entries. */
export function createShard(entries: readonly ledgerEntry.LedgerEntry[]): LedgerShard {
	const byKey = new Map(entries.map(entry => [ledgerEntry.formatEntryKey(entry.account, entry.key), entry]));
	let bytes = 0;
	for (const entry of byKey.values()) {
		bytes += estimateEntryBytes(entry);
	}

	return {entries: byKey, bytes};
}

/** Returns the entries of a shard as plain data. */
export function listEntries(shard: LedgerShard): ledgerEntry.LedgerEntry[] {
	return [...shard.entries.values()];
}

/** Begins a change. */
export function createDraft(shard: LedgerShard): ShardDraft {
	return {entries: new Map(shard.entries), bytes: shard.bytes, changed: false};
}

/** Ends a change. */
export function finishDraft(draft: ShardDraft, options: ledgerOptions.LedgerOptions): LedgerShard {
	util.assertInvariant(draft.bytes <= options.maxShardBytes, 'ledger.size-bound', () => `shard of ${draft.bytes} bytes`);
	return {entries: draft.entries, bytes: draft.bytes};
}

/** Sets an entry. */
export function putEntry(draft: ShardDraft, entry: ledgerEntry.LedgerEntry): void {
	removeEntry(draft, ledgerEntry.formatEntryKey(entry.account, entry.key));
	draft.entries.set(ledgerEntry.formatEntryKey(entry.account, entry.key), entry);
	draft.bytes += estimateEntryBytes(entry);
	draft.changed = true;
}

function removeEntry(draft: ShardDraft, name: string): void {
	const entry = draft.entries.get(name);
	if (entry === undefined) {
		return;
	}

	draft.entries.delete(name);
	draft.bytes -= estimateEntryBytes(entry);
	draft.changed = true;
}

function isExpired(entry: ledgerEntry.LedgerEntry, now: number, options: ledgerOptions.LedgerOptions): boolean {
	const retentionMs = entry.state === ledgerEntry.EntryState.Withdrawn ? options.withdrawnRetentionMs : options.retentionMs;
	return now >= entry.at + retentionMs;
}

/** Drops entries that are past their retention. This alone is no reason to write the shard. */
export function removeExpiredEntries(draft: ShardDraft, now: number, options: ledgerOptions.LedgerOptions): void {
	const {changed} = draft;
	for (const [name, entry] of draft.entries) {
		if (isExpired(entry, now, options)) {
			removeEntry(draft, name);
		}
	}

	draft.changed = changed;
}

import * as util from '../util/index.js';
import * as ledgerEntry from './ledger-entry.js';
import * as ledgerShard from './ledger-shard.js';
import type * as ledgerOptions from './ledger-options.js';
import * as ledgerVerdict from './ledger-verdict.js';

function withdraw(draft: ledgerShard.ShardDraft, settlement: ledgerEntry.Settlement, now: number, options: ledgerOptions.LedgerOptions): void {
	const entry = {...settlement.intent, state: ledgerEntry.EntryState.Withdrawn, at: now};
	const existing = draft.entries.get(ledgerEntry.formatEntryKey(entry.account, entry.key));
	if (existing === undefined && draft.bytes + ledgerShard.estimateEntryBytes(entry) > options.maxIntentBytes) {
		return;
	}

	ledgerShard.putEntry(draft, entry);
}

function recordOutcome(
	draft: ledgerShard.ShardDraft,
	existing: ledgerEntry.LedgerEntry,
	settlement: ledgerEntry.Settlement,
	options: ledgerOptions.LedgerOptions,
): void {
	const {state, outcome} = settlement;
	const entry = {...existing, state, ...(outcome && {outcome})};
	const growth = ledgerShard.estimateEntryBytes(entry) - ledgerShard.estimateEntryBytes(existing);
	const fitsLimits = growth <= options.maxOutcomeBytes && draft.bytes + growth <= options.maxShardBytes;
	if (fitsLimits || outcome === undefined) {
		ledgerShard.putEntry(draft, entry);
		return;
	}

	ledgerShard.putEntry(draft, {...existing, state, outcome: {status: outcome.status}});
}

/**
 * Records the result of an attempt. It changes nothing when the key is recorded with another attempt or settled already.
 * A withdrawal adds an entry even when there is none, so that a later proposal of the attempt has no effect.
 */
export function settleIntent(
	draft: ledgerShard.ShardDraft,
	settlement: ledgerEntry.Settlement,
	now: number,
	options: ledgerOptions.LedgerOptions,
): ledgerVerdict.LedgerVerdict {
	const {intent, state} = settlement;
	const {attempt} = intent;
	const settled = {type: ledgerVerdict.VerdictType.Settled, attempt};
	const existing = draft.entries.get(ledgerEntry.formatEntryKey(intent.account, intent.key));
	const isWithdrawal = state === ledgerEntry.EntryState.Withdrawn;
	if (existing === undefined && isWithdrawal) {
		withdraw(draft, settlement, now, options);
		return settled;
	}

	if (existing?.attempt !== attempt) {
		return {type: ledgerVerdict.VerdictType.Missing, attempt};
	}

	const isDone = existing.state === ledgerEntry.EntryState.Done;
	if (existing.state === state || (isDone && !isWithdrawal)) {
		return settled;
	}

	const wasWithdrawn = existing.state === ledgerEntry.EntryState.Withdrawn;
	util.assertInvariant(!wasWithdrawn, 'ledger.withdrawn-never-sent', () => `attempt ${attempt} was withdrawn before it was settled as ${state}`);
	const wasSent = existing.state !== ledgerEntry.EntryState.Intent;
	util.assertInvariant(!(isWithdrawal && wasSent), 'ledger.sent-never-withdrawn', () => `attempt ${attempt} is withdrawn although it is ${existing.state}`);
	if (isWithdrawal) {
		withdraw(draft, settlement, now, options);
	} else {
		recordOutcome(draft, existing, settlement, options);
	}

	return settled;
}

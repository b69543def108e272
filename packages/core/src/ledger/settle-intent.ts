import * as util from '../util/index.js';
import * as ledgerEntry from './ledger-entry.js';
import * as ledgerShard from './ledger-shard.js';
import type * as ledgerOptions from './ledger-options.js';
import * as ledgerVerdict from './ledger-verdict.js';

function withdraw(draft: ledgerShard.ShardDraft, settlement: ledgerEntry.Settlement, now: number, options: ledgerOptions.LedgerOptions): void {
	const entry = {...settlement.intent, state: ledgerEntry.EntryState.Withdrawn, at: now};
	const existing = draft.entries.get(ledgerEntry.formatEntryKey(entry.account, entry.key));
	// A shard that accepts no further intents takes no new withdrawn entry either.
	if (existing === undefined && draft.bytes + ledgerShard.estimateEntryBytes(entry) > options.maxShardBytesForIntents) {
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
 * Records the result of an attempt in the entry of its intent. Changes nothing when the key has an entry of another attempt,
 * or when the attempt is already recorded with this result or as done. A withdrawal adds an entry when the key has none, so
 * that the intent is refused if it arrives later; withdrawing an attempt that was sent breaks an invariant.
 */
export function settleIntent(
	draft: ledgerShard.ShardDraft,
	settlement: ledgerEntry.Settlement,
	now: number,
	options: ledgerOptions.LedgerOptions,
): ledgerVerdict.LedgerVerdict {
	const {intent, state} = settlement;
	const {attempt} = intent;
	const settledVerdict = {type: ledgerVerdict.VerdictType.Settled, attempt};
	const existing = draft.entries.get(ledgerEntry.formatEntryKey(intent.account, intent.key));
	const isWithdrawal = state === ledgerEntry.EntryState.Withdrawn;
	if (existing === undefined && isWithdrawal) {
		withdraw(draft, settlement, now, options);
		return settledVerdict;
	}

	if (existing?.attempt !== attempt) {
		return {type: ledgerVerdict.VerdictType.Missing, attempt};
	}

	const isDone = existing.state === ledgerEntry.EntryState.Done;
	if (existing.state === state || (isDone && !isWithdrawal)) {
		return settledVerdict;
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

	return settledVerdict;
}

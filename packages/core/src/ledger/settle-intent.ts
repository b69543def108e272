import * as util from '../util/index.js';
import * as ledgerEntry from './ledger-entry.js';
import * as ledgerShard from './ledger-shard.js';
import type * as ledgerTerms from './ledger-terms.js';
import * as ledgerVerdict from './ledger-verdict.js';

function withdraw(draft: ledgerShard.ShardDraft, settlement: ledgerEntry.Settlement, now: number, terms: ledgerTerms.LedgerTerms): void {
	const entry = {...settlement.intent, state: ledgerEntry.EntryState.Withdrawn, at: now};
	const standing = draft.entries.get(ledgerEntry.entryKey(entry.account, entry.key));
	if (standing === undefined && draft.bytes + ledgerShard.entryBytes(entry) > terms.maxIntentBytes) {
		return;
	}

	ledgerShard.putEntry(draft, entry);
}

function recordOutcome(
	draft: ledgerShard.ShardDraft,
	standing: ledgerEntry.LedgerEntry,
	settlement: ledgerEntry.Settlement,
	terms: ledgerTerms.LedgerTerms,
): void {
	const {state, outcome} = settlement;
	const entry = {...standing, state, ...(outcome && {outcome})};
	const growth = ledgerShard.entryBytes(entry) - ledgerShard.entryBytes(standing);
	const isKept = growth <= terms.maxOutcomeBytes && draft.bytes + growth <= terms.maxShardBytes;
	if (isKept || outcome === undefined) {
		ledgerShard.putEntry(draft, entry);
		return;
	}

	ledgerShard.putEntry(draft, {...standing, state, outcome: {status: outcome.status}});
}

/**
 * Records how an attempt came out. It changes nothing where the key stands with another attempt or is settled already.
 * A withdrawal leaves an entry even where none stands, so that a proposal of the attempt that comes later has no effect.
 */
export function settleIntent(
	draft: ledgerShard.ShardDraft,
	settlement: ledgerEntry.Settlement,
	now: number,
	terms: ledgerTerms.LedgerTerms,
): ledgerVerdict.LedgerVerdict {
	const {intent, state} = settlement;
	const {attempt} = intent;
	const settled = {type: ledgerVerdict.VerdictType.Settled, attempt};
	const standing = draft.entries.get(ledgerEntry.entryKey(intent.account, intent.key));
	const isWithdrawal = state === ledgerEntry.EntryState.Withdrawn;
	if (standing === undefined && isWithdrawal) {
		withdraw(draft, settlement, now, terms);
		return settled;
	}

	if (standing?.attempt !== attempt) {
		return {type: ledgerVerdict.VerdictType.Missing, attempt};
	}

	const isDone = standing.state === ledgerEntry.EntryState.Done;
	if (standing.state === state || (isDone && !isWithdrawal)) {
		return settled;
	}

	const wasWithdrawn = standing.state === ledgerEntry.EntryState.Withdrawn;
	util.assertInvariant(!wasWithdrawn, 'ledger.withdrawn-never-sent', () => `${attempt} was withdrawn and is now ${state}`);
	const wasSent = standing.state !== ledgerEntry.EntryState.Intent;
	util.assertInvariant(!(isWithdrawal && wasSent), 'ledger.sent-never-withdrawn', () => `${attempt} is ${standing.state}`);
	if (isWithdrawal) {
		withdraw(draft, settlement, now, terms);
	} else {
		recordOutcome(draft, standing, settlement, terms);
	}

	return settled;
}

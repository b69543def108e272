import type * as model from '../model/index.js';
import * as ledgerEntry from './ledger-entry.js';
import * as ledgerShard from './ledger-shard.js';
import type * as ledgerOptions from './ledger-options.js';
import * as ledgerVerdict from './ledger-verdict.js';

/** Tells whether an incarnation of a router is a live member, as far as the deciding router knows. */
export type LivenessCheck = (vm: model.VmId, incarnation: model.Incarnation) => boolean;

/** What judges intents besides the shard. */
export type LedgerRules = {
	readonly options: ledgerOptions.LedgerOptions;
	readonly isLive: LivenessCheck;
};

/** A shard to be written, with verdicts that hold once it stands. */
export type ShardProposal = {
	readonly shard: ledgerShard.LedgerShard;
	/** Whether the shard differs from the one that stands. */
	readonly changed: boolean;
	/** In the order of the operations. */
	readonly verdicts: readonly ledgerVerdict.LedgerVerdict[];
};

function evaluateSameAttempt(entry: ledgerEntry.LedgerEntry): ledgerVerdict.VerdictType {
	switch (entry.state) {
		case ledgerEntry.EntryState.Intent: {
			return ledgerVerdict.VerdictType.Proceed;
		}

		case ledgerEntry.EntryState.Done: {
			return ledgerVerdict.VerdictType.Replay;
		}

		case ledgerEntry.EntryState.Unknown: {
			return ledgerVerdict.VerdictType.OutcomeUnknown;
		}

		case ledgerEntry.EntryState.Withdrawn: {
			return ledgerVerdict.VerdictType.Withdrawn;
		}
	}
}

function evaluateOtherAttempt(
	entry: ledgerEntry.LedgerEntry,
	intent: ledgerEntry.Intent,
	isLive: LivenessCheck,
): ledgerVerdict.VerdictType {
	if (entry.state === ledgerEntry.EntryState.Withdrawn) {
		return ledgerVerdict.VerdictType.Proceed;
	}

	if (entry.digest !== intent.digest) {
		return ledgerVerdict.VerdictType.KeyReused;
	}

	if (entry.state === ledgerEntry.EntryState.Done) {
		return ledgerVerdict.VerdictType.Replay;
	}

	const isUnderWay = entry.state === ledgerEntry.EntryState.Intent && isLive(entry.vm, entry.incarnation);
	return isUnderWay ? ledgerVerdict.VerdictType.InProgress : ledgerVerdict.VerdictType.OutcomeUnknown;
}

function recordIntent(
	draft: ledgerShard.ShardDraft,
	intent: ledgerEntry.Intent,
	options: ledgerOptions.LedgerOptions,
): ledgerVerdict.VerdictType {
	const entry = {...intent, state: ledgerEntry.EntryState.Intent};
	if (draft.bytes + ledgerShard.estimateEntryBytes(entry) > options.maxIntentBytes) {
		return ledgerVerdict.VerdictType.Full;
	}

	ledgerShard.putEntry(draft, entry);
	return ledgerVerdict.VerdictType.Proceed;
}

/** Judges one intent by the draft and records it where the key is free. */
export function proposeIntent(
	draft: ledgerShard.ShardDraft,
	intent: ledgerEntry.Intent,
	rules: LedgerRules,
): ledgerVerdict.LedgerVerdict {
	const {attempt} = intent;
	const entry = draft.entries.get(ledgerEntry.formatEntryKey(intent.account, intent.key));
	if (entry?.attempt === attempt && entry.incarnation === intent.incarnation) {
		return {type: evaluateSameAttempt(entry), attempt, ...(entry.outcome && {outcome: entry.outcome})};
	}

	const type = entry === undefined ? ledgerVerdict.VerdictType.Proceed : evaluateOtherAttempt(entry, intent, rules.isLive);
	if (type === ledgerVerdict.VerdictType.Proceed) {
		return {type: recordIntent(draft, intent, rules.options), attempt};
	}

	const outcome = type === ledgerVerdict.VerdictType.Replay ? entry?.outcome : undefined;
	return {type, attempt, ...(outcome && {outcome})};
}

/**
 * Judges intents by a shard. A verdict `proceed` holds only once the proposed shard stands under the key
 * by compare-and-swap from the shard that it was made from.
 */
export function proposeIntents(
	shard: ledgerShard.LedgerShard,
	intents: readonly ledgerEntry.Intent[],
	now: number,
	rules: LedgerRules,
): ShardProposal {
	const {options} = rules;
	const draft = ledgerShard.createDraft(shard);
	ledgerShard.removeExpiredEntries(draft, now, options);
	const verdicts = intents.map(intent => proposeIntent(draft, intent, rules));
	return {shard: ledgerShard.finishDraft(draft, options), changed: draft.changed, verdicts};
}

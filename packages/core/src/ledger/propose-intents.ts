import type * as model from '../model/index.js';
import * as ledgerEntry from './ledger-entry.js';
import * as ledgerShard from './ledger-shard.js';
import type * as ledgerOptions from './ledger-options.js';
import * as ledgerVerdict from './ledger-verdict.js';

/** Returns whether an incarnation of a router is a live member, as far as the evaluating router knows. */
export type LivenessCheck = (vm: model.VmId, incarnation: model.Incarnation) => boolean;

/** The rules by which intents are evaluated against a shard. */
export type LedgerRules = {
	readonly options: ledgerOptions.LedgerOptions;
	readonly isLive: LivenessCheck;
};

/** A shard to be written, with verdicts that hold once it is written. */
export type ShardProposal = {
	readonly shard: ledgerShard.LedgerShard;
	/** Whether the shard must be written. */
	readonly changed: boolean;
	/** One verdict for each operation, in the same order. */
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

	const isInProgress = entry.state === ledgerEntry.EntryState.Intent && isLive(entry.vm, entry.incarnation);
	return isInProgress ? ledgerVerdict.VerdictType.InProgress : ledgerVerdict.VerdictType.OutcomeUnknown;
}

function recordIntent(
	draft: ledgerShard.ShardDraft,
	intent: ledgerEntry.Intent,
	options: ledgerOptions.LedgerOptions,
): ledgerVerdict.VerdictType {
	const entry = {...intent, state: ledgerEntry.EntryState.Intent};
	if (draft.bytes + ledgerShard.estimateEntryBytes(entry) > options.maxShardBytesForIntents) {
		return ledgerVerdict.VerdictType.Full;
	}

	ledgerShard.putEntry(draft, entry);
	return ledgerVerdict.VerdictType.Proceed;
}

/** Evaluates an intent against the draft and records it when its key is not in use. */
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
 * Evaluates intents against a shard. A verdict `proceed` holds only once the proposed shard has replaced the given one
 * by compare-and-swap.
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

import type * as model from '../model/index.js';
import type * as ledgerEntry from './ledger-entry.js';

/** Result of proposing an intent or a settlement to the ledger. */
export enum VerdictType {
	/** The intent is recorded: its router may send the request. */
	Proceed = 'proceed',
	/** A request with the key was executed before; the recorded response is returned. */
	Replay = 'replay',
	/** The same request is in progress at a live router. */
	InProgress = 'in_progress',
	/** An earlier request with the key may have been executed. */
	OutcomeUnknown = 'outcome_unknown',
	/** The key is recorded with another request. */
	KeyReused = 'key_reused',
	/** The shard has reached its maximum size. */
	Full = 'full',
	/** The attempt was withdrawn before and must not be sent. */
	Withdrawn = 'withdrawn',
	/** The intent could not be recorded in time. */
	Unavailable = 'unavailable',
	/** The router that issued the key cannot be reached. */
	IssuerUnreachable = 'issuer_unreachable',
	/** An issued key has expired or is not valid yet, and was never used. */
	Expired = 'expired',
	/** The settlement is recorded. */
	Settled = 'settled',
	/** The key has no entry, or an entry of another attempt, so there is nothing to settle. */
	Missing = 'missing',
}

/** Verdict of the ledger on an attempt. */
export type LedgerVerdict = {
	readonly type: VerdictType;
	readonly attempt: model.AttemptId;
	/** Recorded response, with `replay`; absent when only the state of the request is known. */
	readonly outcome?: ledgerEntry.RecordedOutcome;
};

/** Returns whether a verdict remains true even if it was derived from an outdated shard. */
export function isFinalVerdict(type: VerdictType): boolean {
	return type === VerdictType.Proceed
		|| type === VerdictType.Replay
		|| type === VerdictType.Withdrawn
		|| type === VerdictType.Settled;
}

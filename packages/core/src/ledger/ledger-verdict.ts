import type * as model from '../model/index.js';
import type * as ledgerEntry from './ledger-entry.js';

/** How the ledger answers an intent or a settlement. */
export enum VerdictType {
	/** The intent stands: its router may send it. */
	Proceed = 'proceed',
	/** The key was carried out before; the recorded answer is given. */
	Replay = 'replay',
	/** The same request is under way at a live router. */
	InProgress = 'in_progress',
	/** An earlier request with the key may have run. */
	OutcomeUnknown = 'outcome_unknown',
	/** The key stands with another request. */
	KeyReused = 'key_reused',
	/** The shard has no room. */
	Full = 'full',
	/** The attempt was withdrawn before; it is never sent. */
	Withdrawn = 'withdrawn',
	/** The intent could not be recorded in time. */
	Unavailable = 'unavailable',
	/** The router that issued the key cannot be reached at present. */
	IssuerUnreachable = 'issuer_unreachable',
	/** An issued key is not valid any more, or not yet, and was never used. */
	Expired = 'expired',
	/** A settlement stands in the ledger. */
	Settled = 'settled',
	/** No entry of the attempt stands, so there is nothing to settle. */
	Missing = 'missing',
}

/** Answer of the ledger to one attempt. */
export type LedgerVerdict = {
	readonly type: VerdictType;
	readonly attempt: model.AttemptId;
	/** With `replay`; absent when only the status of the run is known. */
	readonly outcome?: ledgerEntry.RecordedOutcome;
};

/** Returns whether a verdict stays true however old the knowledge is that it was made from. */
export function isFinalVerdict(type: VerdictType): boolean {
	return type === VerdictType.Proceed
		|| type === VerdictType.Replay
		|| type === VerdictType.Withdrawn
		|| type === VerdictType.Settled;
}

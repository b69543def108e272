import * as core from '@bluebellmast/core';

/** Kind of decision on a request with an idempotency key. */
export enum BeginVerdictType {
	/** Run the request: claim the permission to send right before the first byte, then send it once. */
	Proceed = 'proceed',
	/** Return the recorded response. */
	Replay = 'replay',
	/** Forward the request to the router that issued the key. */
	Forward = 'forward',
	Refuse = 'refuse',
}

/** Decision on a request with an idempotency key. */
export type BeginVerdict =
	| {readonly type: BeginVerdictType.Proceed; readonly attempt: core.model.AttemptId}
	| {readonly type: BeginVerdictType.Replay; readonly outcome: core.ledger.RecordedOutcome}
	| {
		readonly type: BeginVerdictType.Forward;
		readonly to: core.model.VmId;
		readonly incarnation: core.model.Incarnation;
	}
	| {readonly type: BeginVerdictType.Refuse; readonly refusal: core.model.Refusal};

/** A request that must run at most once. */
export type BeginRequest = {
	readonly account: core.model.AccountId;
	/** Idempotency key of the caller. */
	readonly key: string;
	/** Digest of the request; equal for retries of the same request. */
	readonly digest: string;
	/** Globally unique. */
	readonly attempt: core.model.AttemptId;
	/** In milliseconds since the Unix epoch. */
	readonly deadlineAt: number;
};

/** Converts the verdict of the ledger into a decision on the request. */
export function toBeginVerdict(verdict: core.ledger.LedgerVerdict, retryAfterMs?: number): BeginVerdict {
	if (verdict.type === core.ledger.VerdictType.Proceed) {
		return {type: BeginVerdictType.Proceed, attempt: verdict.attempt};
	}

	if (verdict.type === core.ledger.VerdictType.Replay && verdict.outcome?.body !== undefined) {
		return {type: BeginVerdictType.Replay, outcome: verdict.outcome};
	}

	return {type: BeginVerdictType.Refuse, refusal: core.ledger.createVerdictRefusal(verdict.type, retryAfterMs)};
}

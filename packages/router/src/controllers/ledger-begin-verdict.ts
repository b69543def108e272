import * as core from '@bluebellmast/core';

/** What a request with an idempotency key may do. */
export enum BeginVerdictType {
	/** Claim the permission to send right before the first byte, then send once. */
	Proceed = 'proceed',
	/** Give the recorded answer. */
	Replay = 'replay',
	/** Hand the request to the router that issued the key. */
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

/** A request that asks to be sent once. */
export type BeginRequest = {
	readonly account: core.model.AccountId;
	/** Text of the idempotency key. */
	readonly key: string;
	/** Digest of what the request asks; equal for repeats. */
	readonly digest: string;
	/** Unique over all routers and time. */
	readonly attempt: core.model.AttemptId;
	/** In milliseconds since the epoch. */
	readonly deadlineAt: number;
};

/** Turns the ledger's answer into a decision on the request. */
export function toBeginVerdict(verdict: core.ledger.LedgerVerdict, retryAfterMs?: number): BeginVerdict {
	if (verdict.type === core.ledger.VerdictType.Proceed) {
		return {type: BeginVerdictType.Proceed, attempt: verdict.attempt};
	}

	if (verdict.type === core.ledger.VerdictType.Replay && verdict.outcome?.body !== undefined) {
		return {type: BeginVerdictType.Replay, outcome: verdict.outcome};
	}

	return {type: BeginVerdictType.Refuse, refusal: core.ledger.createVerdictRefusal(verdict.type, retryAfterMs)};
}

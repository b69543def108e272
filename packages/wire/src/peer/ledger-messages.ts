import type * as core from '@bluebellmast/core';
import type * as peerMessageType from './peer-message-type.js';

/** Hands an intent to the writer of its shard. */
export type IntentRequest = {
	readonly type: peerMessageType.PeerMessageType.IntentRequest;
	readonly intent: core.ledger.Intent;
	/** How long the sender waits for the answer, in milliseconds. */
	readonly waitMs: number;
};

/** Answers an intent, or tells that a settlement stands. */
export type IntentAnswer = {
	readonly type: peerMessageType.PeerMessageType.IntentAnswer;
	readonly verdict: core.ledger.LedgerVerdict;
};

/** Hands the settlement of an attempt to the writer of its shard. */
export type OutcomeNotice = {
	readonly type: peerMessageType.PeerMessageType.OutcomeNotice;
	readonly settlement: core.ledger.Settlement;
};

/** A caller's request that is handed to the router that issued its idempotency key. */
export type ForwardRequest = {
	readonly type: peerMessageType.PeerMessageType.ForwardRequest;
	/** Matches the answer; unique for the sender's incarnation. */
	readonly forwardId: string;
	/** Incarnation that issued the key; any other one refuses. */
	readonly incarnation: core.model.Incarnation;
	readonly account: core.model.AccountId;
	readonly method: string;
	readonly path: string;
	/** Header names in lower case; the bearer key is left out. */
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
	/** Time left to the deadline, in milliseconds. */
	readonly deadlineMs: number;
};

/** Answers a forwarded request. */
export type ForwardAnswer = {
	readonly type: peerMessageType.PeerMessageType.ForwardAnswer;
	readonly forwardId: string;
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
};

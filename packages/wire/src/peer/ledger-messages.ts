import type * as core from '@bluebellmast/core';
import type * as peerMessageType from './peer-message-type.js';

/** Sends an intent to the router that writes its ledger shard. */
export type IntentRequest = {
	readonly type: peerMessageType.PeerMessageType.IntentRequest;
	readonly intent: core.ledger.Intent;
	/** How long the sender waits for the answer, in milliseconds. */
	readonly waitMs: number;
};

/** Answers an intent, or confirms that a settlement is recorded. */
export type IntentAnswer = {
	readonly type: peerMessageType.PeerMessageType.IntentAnswer;
	readonly verdict: core.ledger.LedgerVerdict;
};

/** Sends the settlement of an attempt to the router that writes its ledger shard. */
export type OutcomeNotice = {
	readonly type: peerMessageType.PeerMessageType.OutcomeNotice;
	readonly settlement: core.ledger.Settlement;
};

/** A caller's request, forwarded to the router that issued its idempotency key. */
export type ForwardRequest = {
	readonly type: peerMessageType.PeerMessageType.ForwardRequest;
	/** Correlates the answer; unique within the sender's incarnation. */
	readonly forwardId: string;
	/** Incarnation that issued the key; a router of another incarnation refuses the request. */
	readonly incarnation: core.model.Incarnation;
	readonly account: core.model.AccountId;
	readonly method: string;
	readonly path: string;
	/** By header name in lower case, without the `authorization` header. */
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
	/** Time that remains until the deadline, in milliseconds. */
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

import type * as model from '../model/index.js';
import * as intentMachine from './intent-machine.js';
import type * as ledgerEntry from './ledger-entry.js';
import type * as ledgerVerdict from './ledger-verdict.js';
import type * as shardWriter from './shard-writer.js';

/** Type of an event of a router's ledger node. */
export enum LedgerEventType {
	/** The intent of a request is to be recorded before the request is sent. */
	Begin = 'begin',
	/** An attempt ended or was abandoned. */
	Settle = 'settle',
	/** A call to the key-value service ended. */
	CallEnded = 'call_ended',
	/** The intent could not be handed over to the shard's writer. */
	HandoverFailed = 'handover_failed',
	/** Another router handed over an intent. */
	PeerIntent = 'peer_intent',
	/** Another router handed over a settlement. */
	PeerSettlement = 'peer_settlement',
	/** The writer of a shard returned a verdict. */
	PeerVerdict = 'peer_verdict',
	/** The time returned by `getNextWakeTime` was reached. */
	Wake = 'wake',
}

/** An event of a router's ledger node. */
export type LedgerEvent =
	| {readonly type: LedgerEventType.Begin; readonly intent: ledgerEntry.Intent; readonly deadlineAt: number}
	| {
		readonly type: LedgerEventType.Settle;
		readonly attempt: model.AttemptId;
		readonly result: AttemptResult;
		readonly outcome?: ledgerEntry.RecordedOutcome;
	}
	| {readonly type: LedgerEventType.HandoverFailed; readonly attempt: model.AttemptId}
	| {readonly type: LedgerEventType.CallEnded; readonly shard: number; readonly end: shardWriter.ShardCallEnd}
	| {
		readonly type: LedgerEventType.PeerIntent;
		readonly from: model.VmId;
		readonly intent: ledgerEntry.Intent;
		/** Time that the sender still waits for the verdict, in milliseconds. */
		readonly waitMs: number;
	}
	| {readonly type: LedgerEventType.PeerSettlement; readonly from: model.VmId; readonly settlement: ledgerEntry.Settlement}
	| {readonly type: LedgerEventType.PeerVerdict; readonly from: model.VmId; readonly verdict: ledgerVerdict.LedgerVerdict}
	| {readonly type: LedgerEventType.Wake};

/** Result of an attempt. */
export enum AttemptResult {
	/** The complete response of the endpoint was received. */
	ResponseComplete = 'answered',
	/** The request may have been executed, and no complete response was received. */
	ResponseLost = 'lost',
	/** The request was not sent and will not be sent. */
	NeverSent = 'never_sent',
	/** The endpoint reported that it refused the request before executing it, and the request is not sent again. */
	RefusedBeforeExecution = 'refused_before_begin',
}

const intentEventByResult = {
	[AttemptResult.ResponseComplete]: intentMachine.IntentEventType.CompleteResponse,
	[AttemptResult.ResponseLost]: intentMachine.IntentEventType.LoseResponse,
	[AttemptResult.NeverSent]: intentMachine.IntentEventType.Abandon,
	[AttemptResult.RefusedBeforeExecution]: intentMachine.IntentEventType.RefuseBeforeExecution,
} as const;

/** Returns the event of the intent state machine for the result of an attempt. */
export function getIntentEventForResult(result: AttemptResult): intentMachine.IntentEventType {
	return intentEventByResult[result];
}

/** Type of an effect of a router's ledger node. */
export enum LedgerEffectType {
	ReadShard = 'read_shard',
	SwapShard = 'swap_shard',
	/** Gives the verdict on a `begin` event. */
	Verdict = 'verdict',
	SendIntent = 'send_intent',
	SendSettlement = 'send_settlement',
	SendVerdict = 'send_verdict',
}

type ShardRead = Extract<shardWriter.ShardEffect, {readonly type: shardWriter.ShardEffectType.Read}>;
type ShardSwap = Extract<shardWriter.ShardEffect, {readonly type: shardWriter.ShardEffectType.Swap}>;

/** An effect that the router carries out for its ledger node. */
export type LedgerEffect =
	| (Omit<ShardRead, 'type'> & {readonly type: LedgerEffectType.ReadShard})
	| (Omit<ShardSwap, 'type'> & {readonly type: LedgerEffectType.SwapShard})
	| {
		readonly type: LedgerEffectType.Verdict;
		readonly verdict: ledgerVerdict.LedgerVerdict;
		/** Time until a retry can succeed, in milliseconds; absent when a retry cannot succeed. */
		readonly retryAfterMs?: number;
	}
	| {
		readonly type: LedgerEffectType.SendIntent;
		readonly to: model.VmId;
		readonly intent: ledgerEntry.Intent;
		readonly waitMs: number;
	}
	| {readonly type: LedgerEffectType.SendSettlement; readonly to: model.VmId; readonly settlement: ledgerEntry.Settlement}
	| {readonly type: LedgerEffectType.SendVerdict; readonly to: model.VmId; readonly verdict: ledgerVerdict.LedgerVerdict};

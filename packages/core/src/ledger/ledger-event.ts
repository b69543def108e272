import type * as model from '../model/index.js';
import * as intentMachine from './intent-machine.js';
import type * as ledgerEntry from './ledger-entry.js';
import type * as ledgerVerdict from './ledger-verdict.js';
import type * as shardWriter from './shard-writer.js';

/** Type of an event of a router's ledger. */
export enum LedgerEventType {
	/** A request asks to be recorded before it is sent. */
	Begin = 'begin',
	/** An attempt came out, or is given up. */
	Settle = 'settle',
	/** A call to the key-value service ended. */
	CallEnded = 'call_ended',
	/** The intent could not be handed to the shard's writer. */
	HandoverFailed = 'handover_failed',
	/** Another router hands over its intent. */
	PeerIntent = 'peer_intent',
	/** Another router hands over a settlement. */
	PeerSettlement = 'peer_settlement',
	/** The writer of a shard answers. */
	PeerVerdict = 'peer_verdict',
	/** A wake time has come. */
	Wake = 'wake',
}

/** An event of a router's ledger. */
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
		/** How long the sender waits, in milliseconds from now. */
		readonly waitMs: number;
	}
	| {readonly type: LedgerEventType.PeerSettlement; readonly from: model.VmId; readonly settlement: ledgerEntry.Settlement}
	| {readonly type: LedgerEventType.PeerVerdict; readonly from: model.VmId; readonly verdict: ledgerVerdict.LedgerVerdict}
	| {readonly type: LedgerEventType.Wake};

/** How an attempt came out. */
export enum AttemptResult {
	/** The endpoint's answer is whole. */
	ResponseComplete = 'answered',
	/** It may have been carried out, and its answer is not whole. */
	ResponseLost = 'lost',
	/** It was never sent and never will be. */
	NeverSent = 'never_sent',
	/** The endpoint said that it refused it before it began, and it is not sent again. */
	RefusedBeforeExecution = 'refused_before_begin',
}

const intentEventByResult = {
	[AttemptResult.ResponseComplete]: intentMachine.IntentEventType.CompleteResponse,
	[AttemptResult.ResponseLost]: intentMachine.IntentEventType.LoseResponse,
	[AttemptResult.NeverSent]: intentMachine.IntentEventType.Abandon,
	[AttemptResult.RefusedBeforeExecution]: intentMachine.IntentEventType.RefuseBeforeExecution,
} as const;

/** Returns the event in an intent's snapshot for the result of its attempt. */
export function getIntentEventForResult(result: AttemptResult): intentMachine.IntentEventType {
	return intentEventByResult[result];
}

/** Type of an effect of a router's ledger. */
export enum LedgerEffectType {
	ReadShard = 'read_shard',
	SwapShard = 'swap_shard',
	/** Answers a `begin`. */
	Verdict = 'verdict',
	SendIntent = 'send_intent',
	SendSettlement = 'send_settlement',
	SendVerdict = 'send_verdict',
}

type ShardRead = Extract<shardWriter.ShardEffect, {readonly type: shardWriter.ShardEffectType.Read}>;
type ShardSwap = Extract<shardWriter.ShardEffect, {readonly type: shardWriter.ShardEffectType.Swap}>;

/** What the router carries out for its ledger. */
export type LedgerEffect =
	| (Omit<ShardRead, 'type'> & {readonly type: LedgerEffectType.ReadShard})
	| (Omit<ShardSwap, 'type'> & {readonly type: LedgerEffectType.SwapShard})
	| {
		readonly type: LedgerEffectType.Verdict;
		readonly verdict: ledgerVerdict.LedgerVerdict;
		/** Milliseconds until trying again can help, where it can. */
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

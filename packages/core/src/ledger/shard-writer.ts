import type * as model from '../model/index.js';
import * as util from '../util/index.js';
import type * as ledgerEntry from './ledger-entry.js';
import * as ledgerShard from './ledger-shard.js';
import type * as ledgerOptions from './ledger-options.js';
import * as ledgerVerdict from './ledger-verdict.js';
import * as proposeIntents from './propose-intents.js';
import * as settleIntent from './settle-intent.js';
import * as shardAssignment from './shard-assignment.js';
import * as shardOperation from './shard-operation.js';

const millisecondsPerSecond = 1000;
/** Number of commits by which a shard may temporarily exceed its share of the write rate. */
const burstCommits = 4;

/** A shard as last read or written, with its revision. */
export type KnownShard = {
	readonly shard: ledgerShard.LedgerShard;
	/** Revision in the key-value service; 0 when the key does not exist. */
	readonly revision: number;
	/** Id of the call that read or wrote the shard. */
	readonly readByCallId: number;
};

/** Type of a call to the key-value service. */
export enum ShardCallType {
	Read = 'read',
	/** Compare-and-swap of the shard. */
	Swap = 'swap',
}

/** A call in progress; a shard has at most one. */
export type ShardCall = {
	readonly id: number;
	readonly type: ShardCallType;
	/** Operations that a swap commits; empty for a read. */
	readonly operations: readonly shardOperation.ShardOperation[];
	/** Proposal that a swap writes. */
	readonly proposal?: proposeIntents.ShardProposal;
};

/** State of a router's reads and writes of a shard. */
export type ShardWriter = {
	readonly index: number;
	/** The shard on which the next write is based; absent when it must be read first. */
	readonly known?: KnownShard;
	/** The shard as last read or written; also set when it cannot be the base of a write any more. */
	readonly lastSeenShard?: ledgerShard.LedgerShard;
	readonly queue: readonly shardOperation.ShardOperation[];
	readonly call?: ShardCall;
	/** Earliest time of the next commit. */
	readonly commitAt: number;
	/** Time until which the commits so far use up the shard's share of the write rate. */
	readonly rateBudgetUsedUntil: number;
	/** Earliest time of the next call after a failure. */
	readonly retryAt: number;
	readonly consecutiveFailures: number;
	readonly nextCallId: number;
};

/** Type of an effect of a shard writer. */
export enum ShardEffectType {
	Read = 'read',
	Swap = 'swap',
	Verdict = 'answer',
}

/** An effect that the router carries out for a shard writer. */
export type ShardEffect =
	| {readonly type: ShardEffectType.Read; readonly shard: number; readonly callId: number}
	| {
		readonly type: ShardEffectType.Swap;
		readonly shard: number;
		readonly callId: number;
		readonly expectedRevision: number;
		readonly value: ledgerShard.LedgerShard;
	}
	| {
		readonly type: ShardEffectType.Verdict;
		readonly operation: shardOperation.ShardOperation;
		readonly verdict: ledgerVerdict.LedgerVerdict;
	};

/** Result of a call to the key-value service. */
export enum ShardCallResult {
	/** A read returned the shard, or a swap found another revision and returned the stored shard. */
	Seen = 'seen',
	/** A swap wrote the shard. */
	Swapped = 'swapped',
	/** The call had no effect. */
	NoEffect = 'no_effect',
	/** A swap may have been written or may still be written later. */
	Unknown = 'unknown',
}

/** The end of a call, with its result. */
export type ShardCallEnd =
	| {
		readonly result: ShardCallResult.Seen;
		readonly callId: number;
		readonly shard: ledgerShard.LedgerShard;
		readonly revision: number;
	}
	| {readonly result: ShardCallResult.Swapped; readonly callId: number; readonly revision: number}
	| {readonly result: ShardCallResult.NoEffect | ShardCallResult.Unknown; readonly callId: number};

type ShardStep = util.Step<ShardWriter, ShardEffect>;

/** Operations with the proposal that applies them. */
type OperationBatch = {
	readonly operations: readonly shardOperation.ShardOperation[];
	readonly proposal: proposeIntents.ShardProposal;
};

/** Creates the writer of a shard that has not been read. */
export function createShardWriter(index: number): ShardWriter {
	return {
		index, queue: [], commitAt: 0, rateBudgetUsedUntil: 0, retryAt: 0, consecutiveFailures: 0, nextCallId: 1,
	};
}

/** Adds an operation to the queue. The caller must check `maxQueue` first. */
export function enqueueOperation(writer: ShardWriter, operation: shardOperation.NewOperation): ShardWriter {
	return {...writer, queue: [...writer.queue, {...operation, nextCallIdWhenQueued: writer.nextCallId}]};
}

/** Removes an abandoned intent from the queue. Returns whether a write of this router may still record the intent. */
export function removeIntent(
	writer: ShardWriter,
	attempt: model.AttemptId,
): {readonly writer: ShardWriter; readonly mayBeRecorded: boolean} {
	const isIntent = (operation: shardOperation.ShardOperation) =>
		operation.type === shardOperation.OperationType.Propose && operation.intent.attempt === attempt;
	const removed = writer.queue.filter(operation => isIntent(operation));
	const mayBeRecorded = writer.call?.operations.some(operation => isIntent(operation)) === true
		|| removed.some(operation => operation.type === shardOperation.OperationType.Propose && operation.maybeWritten);
	return {writer: {...writer, queue: writer.queue.filter(operation => !isIntent(operation))}, mayBeRecorded};
}

/**
 * Evaluates an intent that cannot be recorded against the last known state of its shard, so that the caller learns of an
 * earlier use of the key. Returns `undefined` when no earlier use is known.
 */
export function evaluateFromLastSeenShard(
	writer: ShardWriter,
	intent: ledgerEntry.Intent,
	now: number,
	rules: proposeIntents.LedgerRules,
): ledgerVerdict.LedgerVerdict | undefined {
	const {verdicts: [verdict]} = proposeIntents.proposeIntents(writer.lastSeenShard ?? ledgerShard.emptyShard, [intent], now, rules);
	const isUnused = verdict === undefined
		|| verdict.type === ledgerVerdict.VerdictType.Proceed
		|| verdict.type === ledgerVerdict.VerdictType.Full
		|| verdict.type === ledgerVerdict.VerdictType.Withdrawn;
	return isUnused ? undefined : verdict;
}

/** Returns whether an operation stays in the queue. An intent that may have been written stays until it is withdrawn. */
function isWaiting(operation: shardOperation.ShardOperation, now: number): boolean {
	return operation.type === shardOperation.OperationType.Settle || operation.maybeWritten || operation.waitUntil > now;
}

/** Returns the time at which the queue is processed next; `undefined` when it is empty or a call is in progress. */
export function getWakeTime(writer: ShardWriter, rules: proposeIntents.LedgerRules): number | undefined {
	if (writer.call !== undefined || writer.queue.length === 0) {
		return undefined;
	}

	const dueTimes = writer.queue.map(operation => operation.type === shardOperation.OperationType.Propose
		? operation.queuedAt
		: operation.queuedAt + rules.options.settleDelayMs);
	return Math.max(Math.min(...dueTimes), writer.commitAt, writer.retryAt);
}

function applyOperations(
	known: KnownShard,
	operations: readonly shardOperation.ShardOperation[],
	now: number,
	rules: proposeIntents.LedgerRules,
): proposeIntents.ShardProposal {
	const draft = ledgerShard.createDraft(known.shard);
	ledgerShard.removeExpiredEntries(draft, now, rules.options);
	const verdicts = operations.map(operation => operation.type === shardOperation.OperationType.Propose
		? proposeIntents.proposeIntent(draft, operation.intent, rules)
		: settleIntent.settleIntent(draft, operation.settlement, now, rules.options));
	return {shard: ledgerShard.finishDraft(draft, rules.options), changed: draft.changed, verdicts};
}

function createVerdictEffects(
	operations: readonly shardOperation.ShardOperation[],
	proposal: proposeIntents.ShardProposal,
): ShardEffect[] {
	return operations.map((operation, index) => ({
		type: ShardEffectType.Verdict, operation, verdict: proposal.verdicts[index]!,
	}));
}

/** Returns whether a verdict that is not final was derived from a shard that was read before its operation was queued. */
function needsRead(
	known: KnownShard,
	operations: readonly shardOperation.ShardOperation[],
	proposal: proposeIntents.ShardProposal,
): boolean {
	return operations.some((operation, index) =>
		!ledgerVerdict.isFinalVerdict(proposal.verdicts[index]!.type) && known.readByCallId < operation.nextCallIdWhenQueued);
}

function beginRead(writer: ShardWriter): ShardStep {
	const id = writer.nextCallId;
	const call = {
		id, type: ShardCallType.Read, operations: [],
	};
	return {
		state: {...writer, call, nextCallId: id + 1},
		effects: [{type: ShardEffectType.Read, shard: writer.index, callId: id}],
	};
}

function beginSwap(
	writer: ShardWriter,
	batch: OperationBatch,
	now: number,
	options: ledgerOptions.LedgerOptions,
): ShardStep {
	const {operations, proposal} = batch;
	const periodMs = millisecondsPerSecond * options.shardCount / options.maxWritesPerSecond;
	const rateBudgetUsedUntil = Math.max(writer.rateBudgetUsedUntil, now) + periodMs;
	const id = writer.nextCallId;
	const call = {
		id, type: ShardCallType.Swap, operations, proposal,
	};
	const state = {
		...writer,
		call,
		nextCallId: id + 1,
		queue: writer.queue.slice(operations.length),
		commitAt: Math.max(now + options.commitIntervalMs, rateBudgetUsedUntil - (burstCommits * periodMs)),
		rateBudgetUsedUntil,
	};
	return {
		state,
		effects: [{
			type: ShardEffectType.Swap,
			shard: writer.index,
			callId: id,
			expectedRevision: writer.known!.revision,
			value: proposal.shard,
		}],
	};
}

/** Starts the next call when the queue is due and no call is in progress. */
export function advanceShard(
	idle: ShardWriter,
	now: number,
	rules: proposeIntents.LedgerRules,
): ShardStep {
	const writer = idle.call === undefined
		? {...idle, queue: idle.queue.filter(operation => isWaiting(operation, now))}
		: idle;
	const wakeAt = getWakeTime(writer, rules);
	if (wakeAt === undefined || wakeAt > now) {
		return {state: writer, effects: []};
	}

	if (writer.known === undefined) {
		return beginRead(writer);
	}

	const operations = writer.queue.slice(0, rules.options.maxBatch);
	const proposal = applyOperations(writer.known, operations, now, rules);
	if (needsRead(writer.known, operations, proposal)) {
		return beginRead(writer);
	}

	if (proposal.changed) {
		return beginSwap(writer, {operations, proposal}, now, rules.options);
	}

	const next = advanceShard({...writer, queue: writer.queue.slice(operations.length)}, now, rules);
	return {state: next.state, effects: [...createVerdictEffects(operations, proposal), ...next.effects]};
}

function markMaybeWritten(operation: shardOperation.ShardOperation): shardOperation.ShardOperation {
	return operation.type === shardOperation.OperationType.Propose ? {...operation, maybeWritten: true} : operation;
}

function failCall(
	writer: ShardWriter & {readonly call: ShardCall},
	isUnknown: boolean,
	now: number,
	options: ledgerOptions.LedgerOptions,
): ShardWriter {
	const {call} = writer;
	const {retryDelayMs, maxRetryDelayMs} = options;
	const operations = isUnknown ? call.operations.map(operation => markMaybeWritten(operation)) : call.operations;
	const delayMs = Math.min(maxRetryDelayMs, retryDelayMs * (2 ** Math.min(writer.consecutiveFailures, 16)));
	const jitter = shardAssignment.hashToFraction(`${writer.index}/${call.id}/${now}`);
	return {
		...writer,
		call: undefined,
		// After an unknown result the shard is read again; the next swap changes the revision, so the earlier swap can no longer succeed.
		known: isUnknown ? undefined : writer.known,
		queue: [...operations, ...writer.queue],
		consecutiveFailures: writer.consecutiveFailures + 1,
		retryAt: now + (delayMs * (0.5 + (jitter / 2))),
	};
}

/**
 * Applies the end of the call in progress and starts the next call when one is due.
 *
 * @throws InvariantError when the call that ended is not the one in progress.
 */
export function endShardCall(
	writer: ShardWriter,
	end: ShardCallEnd,
	now: number,
	rules: proposeIntents.LedgerRules,
): ShardStep {
	const {call} = writer;
	util.assertInvariant(call?.id === end.callId, 'ledger.one-call', () => `call ${end.callId} ended while call ${call?.id} is in progress`);
	switch (end.result) {
		case ShardCallResult.Swapped: {
			const {proposal} = call;
			util.assertInvariant(proposal !== undefined, 'ledger.swap-has-proposal', () => `call ${call.id} is a read but ended as a swap`);
			const known = {shard: proposal.shard, revision: end.revision, readByCallId: call.id};
			const next = advanceShard({
				...writer, call: undefined, known, lastSeenShard: known.shard, consecutiveFailures: 0,
			}, now, rules);
			return {state: next.state, effects: [...createVerdictEffects(call.operations, proposal), ...next.effects]};
		}

		case ShardCallResult.Seen: {
			const known = {shard: end.shard, revision: end.revision, readByCallId: call.id};
			const queue = [...call.operations, ...writer.queue];
			// A swap that found a revision of another writer is retried immediately.
			const commitAt = call.type === ShardCallType.Swap ? now : writer.commitAt;
			return advanceShard({
				...writer, call: undefined, known, lastSeenShard: known.shard, queue, consecutiveFailures: 0, commitAt,
			}, now, rules);
		}

		case ShardCallResult.NoEffect:
		case ShardCallResult.Unknown: {
			const isUnknown = end.result === ShardCallResult.Unknown;
			return advanceShard(failCall({...writer, call}, isUnknown, now, rules.options), now, rules);
		}
	}
}

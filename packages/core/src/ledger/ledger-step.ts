import type * as model from '../model/index.js';
import * as util from '../util/index.js';
import * as intentMachine from './intent-machine.js';
import * as ledgerEntry from './ledger-entry.js';
import * as ledgerEvent from './ledger-event.js';
import * as ledgerNode from './ledger-node.js';
import * as ledgerVerdict from './ledger-verdict.js';
import * as shardOf from './shard-of.js';
import * as shardOperation from './shard-operation.js';
import * as shardWriter from './shard-writer.js';

type NodeStep = util.Step<ledgerNode.LedgerNode, ledgerEvent.LedgerEffect>;

function shardOfIntent(node: ledgerNode.LedgerNode, intent: ledgerEntry.Intent): number {
	return shardOf.shardOf(intent.account, intent.key, node.terms.shardCount);
}

function writerOf(node: ledgerNode.LedgerNode, intent: ledgerEntry.Intent): model.VmId {
	return shardOf.writerOf(shardOfIntent(node, intent), node.members.map(member => member.vm)) ?? node.self.vm;
}

function shardWriterOf(node: ledgerNode.LedgerNode, index: number): shardWriter.ShardWriter {
	return node.shards.get(index) ?? shardWriter.createShardWriter(index);
}

function withShard(node: ledgerNode.LedgerNode, shard: shardWriter.ShardWriter): ledgerNode.LedgerNode {
	return {...node, shards: ledgerNode.withEntry(node.shards, shard.index, shard)};
}

/** Combines a step with one that goes on from its state. */
function then(step: NodeStep, next: (state: ledgerNode.LedgerNode) => NodeStep): NodeStep {
	const {state, effects} = next(step.state);
	return {state, effects: [...step.effects, ...effects]};
}

function applyShardStep(
	node: ledgerNode.LedgerNode,
	step: util.Step<shardWriter.ShardWriter, shardWriter.ShardEffect>,
	now: number,
): NodeStep {
	let result: NodeStep = {state: withShard(node, step.state), effects: []};
	for (const effect of step.effects) {
		result = then(result, state => applyShardEffect(state, effect, now));
	}

	return result;
}

function applyShardEffect(node: ledgerNode.LedgerNode, effect: shardWriter.ShardEffect, now: number): NodeStep {
	switch (effect.type) {
		case shardWriter.ShardEffectType.Read: {
			return {state: node, effects: [{...effect, type: ledgerEvent.LedgerEffectType.ReadShard}]};
		}

		case shardWriter.ShardEffectType.Swap: {
			return {state: node, effects: [{...effect, type: ledgerEvent.LedgerEffectType.SwapShard}]};
		}

		case shardWriter.ShardEffectType.Answer: {
			const {operation, verdict} = effect;
			return operation.origin === node.self.vm
				? takeVerdict(node, verdict, now)
				: {state: node, effects: [{type: ledgerEvent.LedgerEffectType.SendVerdict, to: operation.origin, verdict}]};
		}
	}
}

/** Takes a verdict on an attempt of this router; one that is decided already is left as it is. */
function takeVerdict(node: ledgerNode.LedgerNode, verdict: ledgerVerdict.LedgerVerdict, now: number): NodeStep {
	if (verdict.type === ledgerVerdict.VerdictType.Settled || verdict.type === ledgerVerdict.VerdictType.Missing) {
		return {state: {...node, handed: ledgerNode.withEntry(node.handed, verdict.attempt, undefined)}, effects: []};
	}

	const givenUp = node.givenUp.get(verdict.attempt);
	if (givenUp !== undefined) {
		return verdict.type === ledgerVerdict.VerdictType.Proceed
			? handSettlement(node, {intent: givenUp.intent, state: ledgerEntry.EntryState.Withdrawn}, now)
			: {state: node, effects: []};
	}

	const own = node.attempts.get(verdict.attempt);
	if (own === undefined || intentMachine.intentPhaseOf(own.life) !== intentMachine.IntentPhase.Proposed) {
		return {state: node, effects: []};
	}

	return verdict.type === ledgerVerdict.VerdictType.Proceed
		? commit(node, own)
		: refuse(node, own, verdict, now);
}

function commit(node: ledgerNode.LedgerNode, own: ledgerNode.OwnAttempt): NodeStep {
	const {intent} = own;
	const next = {...own, life: intentMachine.stepIntent(own.life, intentMachine.IntentEventType.Commit), fallbackAt: undefined};
	return {
		state: {...node, attempts: ledgerNode.withEntry(node.attempts, intent.attempt, next)},
		effects: [{
			type: ledgerEvent.LedgerEffectType.Verdict,
			verdict: {type: ledgerVerdict.VerdictType.Proceed, attempt: intent.attempt},
		}],
	};
}

function retryAfterOf(node: ledgerNode.LedgerNode, own: ledgerNode.OwnAttempt, type: ledgerVerdict.VerdictType, now: number): number | undefined {
	const {maxRetryDelayMs} = node.terms;
	if (type === ledgerVerdict.VerdictType.InProgress) {
		return maxRetryDelayMs;
	}

	if (type !== ledgerVerdict.VerdictType.Full && type !== ledgerVerdict.VerdictType.Unavailable) {
		return undefined;
	}

	const {retryAt} = shardWriterOf(node, shardOfIntent(node, own.intent));
	return Math.max(maxRetryDelayMs, retryAt - now);
}

/** Answers a `begin` that is not to be sent, and withdraws its intent where that may come to stand. */
function refuse(node: ledgerNode.LedgerNode, own: ledgerNode.OwnAttempt, verdict: ledgerVerdict.LedgerVerdict, now: number): NodeStep {
	const {intent} = own;
	intentMachine.stepIntent(own.life, intentMachine.IntentEventType.GiveUp);
	const shard = shardWriterOf(node, shardOfIntent(node, intent));
	const {writer, mayStand} = shardWriter.dropIntent(shard, intent.attempt);
	const givenUp = {intent, until: now + node.terms.withdrawnRetentionMs};
	const state = withShard({
		...node,
		attempts: ledgerNode.withEntry(node.attempts, intent.attempt, undefined),
		givenUp: ledgerNode.withEntry(node.givenUp, intent.attempt, givenUp),
	}, writer);
	const isUnavailable = verdict.type === ledgerVerdict.VerdictType.Unavailable;
	const seen = isUnavailable ? shardWriter.judgeByLastSeen(shard, intent, now, ledgerNode.rulesOf(node)) : undefined;
	const answered = seen ?? verdict;
	const retryAfterMs = retryAfterOf(node, own, answered.type, now);
	const answer: ledgerEvent.LedgerEffect = {
		type: ledgerEvent.LedgerEffectType.Verdict,
		verdict: answered,
		...(retryAfterMs === undefined ? {} : {retryAfterMs}),
	};
	const isUndecided = isUnavailable || own.fallbackAt === undefined;
	const isGivenUp = own.handedTo !== undefined && isUndecided;
	const settlement = {intent, state: ledgerEntry.EntryState.Withdrawn as const};
	return mayStand || isGivenUp
		? then({state, effects: [answer]}, next => handSettlement(next, settlement, now))
		: {state, effects: [answer]};
}

function queueLocally(node: ledgerNode.LedgerNode, operation: shardOperation.NewOperation, now: number): NodeStep {
	const intent = operation.type === shardOperation.OperationType.Propose ? operation.intent : operation.settlement.intent;
	const shard = shardWriter.queueOperation(shardWriterOf(node, shardOfIntent(node, intent)), operation);
	return applyShardStep(node, shardWriter.advanceShard(shard, now, ledgerNode.rulesOf(node)), now);
}

function isQueueFull(node: ledgerNode.LedgerNode, intent: ledgerEntry.Intent): boolean {
	return shardWriterOf(node, shardOfIntent(node, intent)).queue.length >= node.terms.maxQueue;
}

function queueIntent(node: ledgerNode.LedgerNode, own: ledgerNode.OwnAttempt, now: number): NodeStep {
	const attempts = ledgerNode.withEntry(node.attempts, own.intent.attempt, {...own, fallbackAt: undefined});
	return queueLocally({...node, attempts}, {
		type: shardOperation.OperationType.Propose,
		intent: own.intent,
		origin: node.self.vm,
		queuedAt: now,
		waitUntil: own.waitUntil,
		maybeWritten: false,
	}, now);
}

function queueSettlement(node: ledgerNode.LedgerNode, settlement: ledgerEntry.Settlement, origin: model.VmId, now: number): NodeStep {
	// Without room the settlement is lost: the entry stays an intent, which is never sent again.
	return isQueueFull(node, settlement.intent)
		? {state: node, effects: []}
		: queueLocally(node, {
			type: shardOperation.OperationType.Settle, settlement, origin, queuedAt: now,
		}, now);
}

function handSettlement(node: ledgerNode.LedgerNode, settlement: ledgerEntry.Settlement, now: number): NodeStep {
	const to = writerOf(node, settlement.intent);
	if (to === node.self.vm) {
		return queueSettlement(node, settlement, to, now);
	}

	const {settleDelayMs, handoverTimeoutMs} = node.terms;
	const fallbackAt = now + (settleDelayMs * 2) + handoverTimeoutMs;
	return {
		state: {...node, handed: ledgerNode.withEntry(node.handed, settlement.intent.attempt, {settlement, fallbackAt})},
		effects: [{type: ledgerEvent.LedgerEffectType.SendSettlement, to, settlement}],
	};
}

function begin(node: ledgerNode.LedgerNode, intent: ledgerEntry.Intent, deadlineAt: number, now: number): NodeStep {
	const {maxWaitMs, maxWaitShare, handoverTimeoutMs} = node.terms;
	const isKnown = node.attempts.has(intent.attempt);
	util.assertInvariant(!isKnown, 'ledger.unique-attempt', () => `attempt ${intent.attempt} began twice`);
	const waitUntil = now + Math.min(maxWaitMs, maxWaitShare * Math.max(0, deadlineAt - now));
	const own: ledgerNode.OwnAttempt = {intent, life: intentMachine.beginIntent(), waitUntil};
	if (waitUntil <= now || isQueueFull(node, intent)) {
		return refuse(node, own, {type: ledgerVerdict.VerdictType.Unavailable, attempt: intent.attempt}, now);
	}

	const to = writerOf(node, intent);
	if (to === node.self.vm) {
		return queueIntent(node, own, now);
	}

	const fallbackAt = Math.min(now + handoverTimeoutMs, now + ((waitUntil - now) / 2));
	return {
		state: {...node, attempts: ledgerNode.withEntry(node.attempts, intent.attempt, {...own, handedTo: to, fallbackAt})},
		effects: [{
			type: ledgerEvent.LedgerEffectType.SendIntent, to, intent, waitMs: waitUntil - now,
		}],
	};
}

function settle(
	node: ledgerNode.LedgerNode,
	event: Extract<ledgerEvent.LedgerEvent, {readonly type: ledgerEvent.LedgerEventType.Settle}>,
	now: number,
): NodeStep {
	const own = node.attempts.get(event.attempt);
	if (own === undefined) {
		return {state: node, effects: []};
	}

	const {intent} = own;
	const phase = intentMachine.intentPhaseOf(own.life);
	if (phase === intentMachine.IntentPhase.Proposed) {
		util.assertInvariant(
			event.result === ledgerEvent.AttemptResult.NeverSent,
			'ledger.recorded-before-sent',
			() => `${event.attempt} is ${event.result} and was not recorded`,
		);
		return refuse(node, own, {type: ledgerVerdict.VerdictType.Unavailable, attempt: intent.attempt}, now);
	}

	intentMachine.stepIntent(own.life, ledgerEvent.eventOfResult(event.result));
	const state = {...node, attempts: ledgerNode.withEntry(node.attempts, intent.attempt, undefined)};
	const settlement = {intent, state: stateOfResult[event.result], ...(event.outcome && {outcome: event.outcome})};
	return handSettlement(state, settlement, now);
}

const stateOfResult = {
	[ledgerEvent.AttemptResult.Answered]: ledgerEntry.EntryState.Done,
	[ledgerEvent.AttemptResult.Lost]: ledgerEntry.EntryState.Unknown,
	[ledgerEvent.AttemptResult.NeverSent]: ledgerEntry.EntryState.Withdrawn,
	[ledgerEvent.AttemptResult.RefusedBeforeBegin]: ledgerEntry.EntryState.Withdrawn,
} as const;

function takePeerIntent(
	node: ledgerNode.LedgerNode,
	event: Extract<ledgerEvent.LedgerEvent, {readonly type: ledgerEvent.LedgerEventType.PeerIntent}>,
	now: number,
): NodeStep {
	// Without room the sender commits on its own.
	return isQueueFull(node, event.intent)
		? {state: node, effects: []}
		: queueLocally(node, {
			type: shardOperation.OperationType.Propose,
			intent: event.intent,
			origin: event.from,
			queuedAt: now,
			waitUntil: now + event.waitMs,
			maybeWritten: false,
		}, now);
}

function wake(node: ledgerNode.LedgerNode, now: number): NodeStep {
	const givenUp = new Map([...node.givenUp].filter(([, {until}]) => until > now));
	let step: NodeStep = {state: {...node, givenUp}, effects: []};
	for (const own of node.attempts.values()) {
		const isProposed = intentMachine.intentPhaseOf(own.life) === intentMachine.IntentPhase.Proposed;
		if (isProposed && own.waitUntil <= now) {
			step = then(step, state => refuse(state, own, {type: ledgerVerdict.VerdictType.Unavailable, attempt: own.intent.attempt}, now));
		} else if (isProposed && own.fallbackAt !== undefined && own.fallbackAt <= now) {
			step = then(step, state => queueIntent(state, own, now));
		}
	}

	for (const [attempt, {settlement, fallbackAt}] of node.handed) {
		if (fallbackAt <= now) {
			step = then(step, state => {
				const handed = ledgerNode.withEntry(state.handed, attempt, undefined);
				return queueSettlement({...state, handed}, settlement, state.self.vm, now);
			});
		}
	}

	const rules = ledgerNode.rulesOf(step.state);
	for (const index of step.state.shards.keys()) {
		step = then(step, state => applyShardStep(state, shardWriter.advanceShard(shardWriterOf(state, index), now, rules), now));
	}

	return step;
}

/** Takes one event of a router's ledger. */
export function stepLedger(node: ledgerNode.LedgerNode, event: ledgerEvent.LedgerEvent, now: number): NodeStep {
	switch (event.type) {
		case ledgerEvent.LedgerEventType.Begin: {
			return begin(node, event.intent, event.deadlineAt, now);
		}

		case ledgerEvent.LedgerEventType.Settle: {
			return settle(node, event, now);
		}

		case ledgerEvent.LedgerEventType.CallEnded: {
			return applyShardStep(node, shardWriter.endShardCall(shardWriterOf(node, event.shard), event.end, now, ledgerNode.rulesOf(node)), now);
		}

		case ledgerEvent.LedgerEventType.HandoverFailed: {
			const own = node.attempts.get(event.attempt);
			return own?.fallbackAt === undefined ? {state: node, effects: []} : queueIntent(node, own, now);
		}

		case ledgerEvent.LedgerEventType.PeerIntent: {
			return takePeerIntent(node, event, now);
		}

		case ledgerEvent.LedgerEventType.PeerSettlement: {
			return queueSettlement(node, event.settlement, event.from, now);
		}

		case ledgerEvent.LedgerEventType.PeerVerdict: {
			return takeVerdict(node, event.verdict, now);
		}

		case ledgerEvent.LedgerEventType.Wake: {
			return wake(node, now);
		}
	}
}

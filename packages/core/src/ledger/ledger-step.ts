import type * as model from '../model/index.js';
import * as util from '../util/index.js';
import * as intentMachine from './intent-machine.js';
import * as ledgerEntry from './ledger-entry.js';
import * as ledgerEvent from './ledger-event.js';
import * as ledgerNode from './ledger-node.js';
import * as ledgerVerdict from './ledger-verdict.js';
import * as shardAssignment from './shard-assignment.js';
import * as shardOperation from './shard-operation.js';
import * as shardWriter from './shard-writer.js';

type NodeStep = util.Step<ledgerNode.LedgerNode, ledgerEvent.LedgerEffect>;

function getIntentShardIndex(node: ledgerNode.LedgerNode, intent: ledgerEntry.Intent): number {
	return shardAssignment.getShardIndex(intent.account, intent.key, node.options.shardCount);
}

function selectIntentWriter(node: ledgerNode.LedgerNode, intent: ledgerEntry.Intent): model.VmId {
	return shardAssignment.selectShardWriter(getIntentShardIndex(node, intent), node.members.map(member => member.vm)) ?? node.self.vm;
}

function getShardWriter(node: ledgerNode.LedgerNode, index: number): shardWriter.ShardWriter {
	return node.shards.get(index) ?? shardWriter.createShardWriter(index);
}

function withShard(node: ledgerNode.LedgerNode, shard: shardWriter.ShardWriter): ledgerNode.LedgerNode {
	return {...node, shards: ledgerNode.withEntry(node.shards, shard.index, shard)};
}

/** Runs a further step on the state of a step and joins the effects of both. */
function chainStep(step: NodeStep, next: (state: ledgerNode.LedgerNode) => NodeStep): NodeStep {
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
		result = chainStep(result, state => applyShardEffect(state, effect, now));
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

		case shardWriter.ShardEffectType.Verdict: {
			const {operation, verdict} = effect;
			return operation.origin === node.self.vm
				? handleVerdict(node, verdict, now)
				: {state: node, effects: [{type: ledgerEvent.LedgerEffectType.SendVerdict, to: operation.origin, verdict}]};
		}
	}
}

/** Applies a verdict to an attempt of this router; has no effect on an attempt that has a verdict already. */
function handleVerdict(node: ledgerNode.LedgerNode, verdict: ledgerVerdict.LedgerVerdict, now: number): NodeStep {
	if (verdict.type === ledgerVerdict.VerdictType.Settled || verdict.type === ledgerVerdict.VerdictType.Missing) {
		return {
			state: {...node, handedOverSettlements: ledgerNode.withEntry(node.handedOverSettlements, verdict.attempt, undefined)},
			effects: [],
		};
	}

	const abandoned = node.abandonedAttempts.get(verdict.attempt);
	if (abandoned !== undefined) {
		return verdict.type === ledgerVerdict.VerdictType.Proceed
			? handOverSettlement(node, {intent: abandoned.intent, state: ledgerEntry.EntryState.Withdrawn}, now)
			: {state: node, effects: []};
	}

	const localAttempt = node.attempts.get(verdict.attempt);
	if (localAttempt === undefined || intentMachine.getIntentPhase(localAttempt.snapshot) !== intentMachine.IntentPhase.Proposed) {
		return {state: node, effects: []};
	}

	return verdict.type === ledgerVerdict.VerdictType.Proceed
		? commit(node, localAttempt)
		: refuse(node, localAttempt, verdict, now);
}

function commit(node: ledgerNode.LedgerNode, localAttempt: ledgerNode.LocalAttempt): NodeStep {
	const {intent} = localAttempt;
	const next = {
		...localAttempt,
		snapshot: intentMachine.stepIntent(localAttempt.snapshot, intentMachine.IntentEventType.Commit),
		fallbackAt: undefined,
	};
	return {
		state: {...node, attempts: ledgerNode.withEntry(node.attempts, intent.attempt, next)},
		effects: [{
			type: ledgerEvent.LedgerEffectType.Verdict,
			verdict: {type: ledgerVerdict.VerdictType.Proceed, attempt: intent.attempt},
		}],
	};
}

function getRetryAfterMs(
	node: ledgerNode.LedgerNode,
	localAttempt: ledgerNode.LocalAttempt,
	type: ledgerVerdict.VerdictType,
	now: number,
): number | undefined {
	const {maxRetryDelayMs} = node.options;
	if (type === ledgerVerdict.VerdictType.InProgress) {
		return maxRetryDelayMs;
	}

	if (type !== ledgerVerdict.VerdictType.Full && type !== ledgerVerdict.VerdictType.Unavailable) {
		return undefined;
	}

	const {retryAt} = getShardWriter(node, getIntentShardIndex(node, localAttempt.intent));
	return Math.max(maxRetryDelayMs, retryAt - now);
}

/** Refuses a request whose intent is not recorded, and withdraws the intent when it may still be recorded later. */
function refuse(
	node: ledgerNode.LedgerNode,
	localAttempt: ledgerNode.LocalAttempt,
	verdict: ledgerVerdict.LedgerVerdict,
	now: number,
): NodeStep {
	const {intent} = localAttempt;
	intentMachine.stepIntent(localAttempt.snapshot, intentMachine.IntentEventType.Abandon);
	const shard = getShardWriter(node, getIntentShardIndex(node, intent));
	const {writer, mayBeRecorded} = shardWriter.removeIntent(shard, intent.attempt);
	const abandoned = {intent, expiresAt: now + node.options.withdrawnRetentionMs};
	const state = withShard({
		...node,
		attempts: ledgerNode.withEntry(node.attempts, intent.attempt, undefined),
		abandonedAttempts: ledgerNode.withEntry(node.abandonedAttempts, intent.attempt, abandoned),
	}, writer);
	const isUnavailable = verdict.type === ledgerVerdict.VerdictType.Unavailable;
	const knownVerdict = isUnavailable
		? shardWriter.evaluateFromLastSeenShard(shard, intent, now, ledgerNode.createRules(node))
		: undefined;
	const effectiveVerdict = knownVerdict ?? verdict;
	const retryAfterMs = getRetryAfterMs(node, localAttempt, effectiveVerdict.type, now);
	const verdictEffect: ledgerEvent.LedgerEffect = {
		type: ledgerEvent.LedgerEffectType.Verdict,
		verdict: effectiveVerdict,
		...(retryAfterMs === undefined ? {} : {retryAfterMs}),
	};
	const isWriterUndecided = isUnavailable || localAttempt.fallbackAt === undefined;
	const mayBeRecordedByWriter = localAttempt.handedOverTo !== undefined && isWriterUndecided;
	const settlement = {intent, state: ledgerEntry.EntryState.Withdrawn as const};
	return mayBeRecorded || mayBeRecordedByWriter
		? chainStep({state, effects: [verdictEffect]}, next => handOverSettlement(next, settlement, now))
		: {state, effects: [verdictEffect]};
}

function queueLocally(node: ledgerNode.LedgerNode, operation: shardOperation.NewOperation, now: number): NodeStep {
	const intent = operation.type === shardOperation.OperationType.Propose ? operation.intent : operation.settlement.intent;
	const shard = shardWriter.enqueueOperation(getShardWriter(node, getIntentShardIndex(node, intent)), operation);
	return applyShardStep(node, shardWriter.advanceShard(shard, now, ledgerNode.createRules(node)), now);
}

function isQueueFull(node: ledgerNode.LedgerNode, intent: ledgerEntry.Intent): boolean {
	return getShardWriter(node, getIntentShardIndex(node, intent)).queue.length >= node.options.maxQueue;
}

function queueIntent(node: ledgerNode.LedgerNode, localAttempt: ledgerNode.LocalAttempt, now: number): NodeStep {
	const attempts = ledgerNode.withEntry(node.attempts, localAttempt.intent.attempt, {...localAttempt, fallbackAt: undefined});
	return queueLocally({...node, attempts}, {
		type: shardOperation.OperationType.Propose,
		intent: localAttempt.intent,
		origin: node.self.vm,
		queuedAt: now,
		waitUntil: localAttempt.waitUntil,
		maybeWritten: false,
	}, now);
}

function queueSettlement(node: ledgerNode.LedgerNode, settlement: ledgerEntry.Settlement, origin: model.VmId, now: number): NodeStep {
	// When the queue is full, the settlement is dropped: the entry remains an intent, whose request is not sent again.
	return isQueueFull(node, settlement.intent)
		? {state: node, effects: []}
		: queueLocally(node, {
			type: shardOperation.OperationType.Settle, settlement, origin, queuedAt: now,
		}, now);
}

function handOverSettlement(node: ledgerNode.LedgerNode, settlement: ledgerEntry.Settlement, now: number): NodeStep {
	const to = selectIntentWriter(node, settlement.intent);
	if (to === node.self.vm) {
		return queueSettlement(node, settlement, to, now);
	}

	const {settleDelayMs, handoverTimeoutMs} = node.options;
	const fallbackAt = now + (settleDelayMs * 2) + handoverTimeoutMs;
	return {
		state: {
			...node,
			handedOverSettlements: ledgerNode.withEntry(node.handedOverSettlements, settlement.intent.attempt, {settlement, fallbackAt}),
		},
		effects: [{type: ledgerEvent.LedgerEffectType.SendSettlement, to, settlement}],
	};
}

function begin(node: ledgerNode.LedgerNode, intent: ledgerEntry.Intent, deadlineAt: number, now: number): NodeStep {
	const {maxWaitMs, maxWaitShare, handoverTimeoutMs} = node.options;
	const isKnown = node.attempts.has(intent.attempt);
	util.assertInvariant(!isKnown, 'ledger.unique-attempt', () => `attempt ${intent.attempt} began twice`);
	const waitUntil = now + Math.min(maxWaitMs, maxWaitShare * Math.max(0, deadlineAt - now));
	const localAttempt: ledgerNode.LocalAttempt = {intent, snapshot: intentMachine.createIntentSnapshot(), waitUntil};
	if (waitUntil <= now || isQueueFull(node, intent)) {
		return refuse(node, localAttempt, {type: ledgerVerdict.VerdictType.Unavailable, attempt: intent.attempt}, now);
	}

	const to = selectIntentWriter(node, intent);
	if (to === node.self.vm) {
		return queueIntent(node, localAttempt, now);
	}

	const fallbackAt = Math.min(now + handoverTimeoutMs, now + ((waitUntil - now) / 2));
	return {
		state: {...node, attempts: ledgerNode.withEntry(node.attempts, intent.attempt, {...localAttempt, handedOverTo: to, fallbackAt})},
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
	const localAttempt = node.attempts.get(event.attempt);
	if (localAttempt === undefined) {
		return {state: node, effects: []};
	}

	const {intent} = localAttempt;
	const phase = intentMachine.getIntentPhase(localAttempt.snapshot);
	if (phase === intentMachine.IntentPhase.Proposed) {
		util.assertInvariant(
			event.result === ledgerEvent.AttemptResult.NeverSent,
			'ledger.recorded-before-sent',
			() => `attempt ${event.attempt} ended as ${event.result} but its intent was not recorded`,
		);
		return refuse(node, localAttempt, {type: ledgerVerdict.VerdictType.Unavailable, attempt: intent.attempt}, now);
	}

	intentMachine.stepIntent(localAttempt.snapshot, ledgerEvent.getIntentEventForResult(event.result));
	const state = {...node, attempts: ledgerNode.withEntry(node.attempts, intent.attempt, undefined)};
	const settlement = {intent, state: entryStateByResult[event.result], ...(event.outcome && {outcome: event.outcome})};
	return handOverSettlement(state, settlement, now);
}

const entryStateByResult = {
	[ledgerEvent.AttemptResult.ResponseComplete]: ledgerEntry.EntryState.Done,
	[ledgerEvent.AttemptResult.ResponseLost]: ledgerEntry.EntryState.Unknown,
	[ledgerEvent.AttemptResult.NeverSent]: ledgerEntry.EntryState.Withdrawn,
	[ledgerEvent.AttemptResult.RefusedBeforeExecution]: ledgerEntry.EntryState.Withdrawn,
} as const;

function handlePeerIntent(
	node: ledgerNode.LedgerNode,
	event: Extract<ledgerEvent.LedgerEvent, {readonly type: ledgerEvent.LedgerEventType.PeerIntent}>,
	now: number,
): NodeStep {
	// When the queue is full, no verdict is returned and the sending router commits the intent itself after its timeout.
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
	const abandonedAttempts = new Map([...node.abandonedAttempts].filter(([, {expiresAt}]) => expiresAt > now));
	let step: NodeStep = {state: {...node, abandonedAttempts}, effects: []};
	for (const localAttempt of node.attempts.values()) {
		const isProposed = intentMachine.getIntentPhase(localAttempt.snapshot) === intentMachine.IntentPhase.Proposed;
		if (isProposed && localAttempt.waitUntil <= now) {
			step = chainStep(step, state => refuse(state, localAttempt, {
				type: ledgerVerdict.VerdictType.Unavailable, attempt: localAttempt.intent.attempt,
			}, now));
		} else if (isProposed && localAttempt.fallbackAt !== undefined && localAttempt.fallbackAt <= now) {
			step = chainStep(step, state => queueIntent(state, localAttempt, now));
		}
	}

	for (const [attempt, {settlement, fallbackAt}] of node.handedOverSettlements) {
		if (fallbackAt <= now) {
			step = chainStep(step, state => {
				const handedOverSettlements = ledgerNode.withEntry(state.handedOverSettlements, attempt, undefined);
				return queueSettlement({...state, handedOverSettlements}, settlement, state.self.vm, now);
			});
		}
	}

	const rules = ledgerNode.createRules(step.state);
	for (const index of step.state.shards.keys()) {
		step = chainStep(step, state => applyShardStep(state, shardWriter.advanceShard(getShardWriter(state, index), now, rules), now));
	}

	return step;
}

/** Applies an event to the ledger state of a router. */
export function stepLedger(node: ledgerNode.LedgerNode, event: ledgerEvent.LedgerEvent, now: number): NodeStep {
	switch (event.type) {
		case ledgerEvent.LedgerEventType.Begin: {
			return begin(node, event.intent, event.deadlineAt, now);
		}

		case ledgerEvent.LedgerEventType.Settle: {
			return settle(node, event, now);
		}

		case ledgerEvent.LedgerEventType.CallEnded: {
			return applyShardStep(node, shardWriter.endShardCall(getShardWriter(node, event.shard), event.end, now, ledgerNode.createRules(node)), now);
		}

		case ledgerEvent.LedgerEventType.HandoverFailed: {
			const localAttempt = node.attempts.get(event.attempt);
			return localAttempt?.fallbackAt === undefined ? {state: node, effects: []} : queueIntent(node, localAttempt, now);
		}

		case ledgerEvent.LedgerEventType.PeerIntent: {
			return handlePeerIntent(node, event, now);
		}

		case ledgerEvent.LedgerEventType.PeerSettlement: {
			return queueSettlement(node, event.settlement, event.from, now);
		}

		case ledgerEvent.LedgerEventType.PeerVerdict: {
			return handleVerdict(node, event.verdict, now);
		}

		case ledgerEvent.LedgerEventType.Wake: {
			return wake(node, now);
		}
	}
}

import type * as model from '../model/index.js';
import * as intentMachine from './intent-machine.js';
import type * as ledgerEntry from './ledger-entry.js';
import type * as ledgerOptions from './ledger-options.js';
import type * as proposeIntents from './propose-intents.js';
import * as shardWriter from './shard-writer.js';

/** A live router. */
export type LedgerMember = {
	readonly vm: model.VmId;
	readonly incarnation: model.Incarnation;
};

/** An attempt of this router from its `begin` until it is settled. */
export type LocalAttempt = {
	readonly intent: ledgerEntry.Intent;
	readonly snapshot: intentMachine.IntentSnapshot;
	readonly waitUntil: number;
	/** Writer that the intent was handed to. */
	readonly handedOverTo?: model.VmId;
	/** When the router commits the intent on its own; absent once it does. */
	readonly fallbackAt?: number;
};

/** A settlement that was handed to a writer and has no answer yet. */
export type HandedOverSettlement = {
	readonly settlement: ledgerEntry.Settlement;
	readonly fallbackAt: number;
};

/** An attempt that was given up unsent. */
export type AbandonedAttempt = {
	readonly intent: ledgerEntry.Intent;
	readonly expiresAt: number;
};

/** One router's part of the ledger. */
export type LedgerNode = {
	readonly self: LedgerMember;
	readonly options: ledgerOptions.LedgerOptions;
	/** Live routers, this one among them. */
	readonly members: readonly LedgerMember[];
	readonly shards: ReadonlyMap<number, shardWriter.ShardWriter>;
	readonly attempts: ReadonlyMap<model.AttemptId, LocalAttempt>;
	readonly handedOverSettlements: ReadonlyMap<model.AttemptId, HandedOverSettlement>;
	/** Attempts that were given up, with the time until when a late commit of theirs is withdrawn. */
	readonly abandonedAttempts: ReadonlyMap<model.AttemptId, AbandonedAttempt>;
};

/** Creates a router's part of the ledger. */
export function createLedgerNode(self: LedgerMember, options: ledgerOptions.LedgerOptions): LedgerNode {
	return {
		self, options, members: [self], shards: new Map(), attempts: new Map(), handedOverSettlements: new Map(), abandonedAttempts: new Map(),
	};
}

/** Sets the live routers. */
export function setMembers(node: LedgerNode, members: readonly LedgerMember[]): LedgerNode {
	const others = members.filter(member => member.vm !== node.self.vm);
	return {...node, members: [node.self, ...others]};
}

/** Returns the rules that the router judges intents by. */
export function createRules(node: LedgerNode): proposeIntents.LedgerRules {
	const live = new Set(node.members.map(member => `${member.vm}/${member.incarnation}`));
	return {options: node.options, isLive: (vm, incarnation) => live.has(`${vm}/${incarnation}`)};
}

/** Returns a copy of a map with one entry set, or removed where the value is `undefined`. */
export function withEntry<Key, Value>(map: ReadonlyMap<Key, Value>, key: Key, value: Value | undefined): ReadonlyMap<Key, Value> {
	const next = new Map(map);
	if (value === undefined) {
		next.delete(key);
	} else {
		next.set(key, value);
	}

	return next;
}

/** Result of {@link claimSend}. */
export type SendClaim = {
	readonly node: LedgerNode;
	/** Whether the request may be sent, now and once. */
	readonly allowed: boolean;
};

/**
 * Takes the one permission to send a recorded attempt; asked right before its first byte. It is refused where the intent
 * is not recorded, was settled, or stands for so long that its entry could have expired.
 */
export function claimSend(node: LedgerNode, attempt: model.AttemptId, now: number): SendClaim {
	const localAttempt = node.attempts.get(attempt);
	const isCommitted = localAttempt !== undefined && intentMachine.getIntentPhase(localAttempt.snapshot) === intentMachine.IntentPhase.Committed;
	if (!isCommitted || now >= localAttempt.intent.at + node.options.sendWindowMs) {
		return {node, allowed: false};
	}

	const sent = {...localAttempt, snapshot: intentMachine.stepIntent(localAttempt.snapshot, intentMachine.IntentEventType.Send)};
	return {node: {...node, attempts: withEntry(node.attempts, attempt, sent)}, allowed: true};
}

/** Returns when the next `wake` is due, or `undefined` when nothing waits for time. */
export function getNextWakeTime(node: LedgerNode): number | undefined {
	const rules = createRules(node);
	const times: number[] = [];
	for (const localAttempt of node.attempts.values()) {
		if (intentMachine.getIntentPhase(localAttempt.snapshot) === intentMachine.IntentPhase.Proposed) {
			times.push(Math.min(localAttempt.waitUntil, localAttempt.fallbackAt ?? localAttempt.waitUntil));
		}
	}

	for (const {fallbackAt} of node.handedOverSettlements.values()) {
		times.push(fallbackAt);
	}

	for (const shard of node.shards.values()) {
		const wakeAt = shardWriter.getWakeTime(shard, rules);
		if (wakeAt !== undefined) {
			times.push(wakeAt);
		}
	}

	return times.length === 0 ? undefined : Math.min(...times);
}

/** Returns whether the router has nothing left to record; it may stop then. */
export function isLedgerIdle(node: LedgerNode): boolean {
	return node.attempts.size === 0 && node.handedOverSettlements.size === 0
		&& [...node.shards.values()].every(shard => shard.call === undefined && shard.queue.length === 0);
}

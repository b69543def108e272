import type * as model from '../model/index.js';
import * as intentMachine from './intent-machine.js';
import type * as ledgerEntry from './ledger-entry.js';
import type * as ledgerOptions from './ledger-options.js';
import type * as proposeIntents from './propose-intents.js';
import * as shardWriter from './shard-writer.js';

/** A live router that takes part in the ledger. */
export type LedgerMember = {
	readonly vm: model.VmId;
	readonly incarnation: model.Incarnation;
};

/** An attempt of this router, stored from its `begin` event until it is settled. */
export type LocalAttempt = {
	readonly intent: ledgerEntry.Intent;
	readonly snapshot: intentMachine.IntentSnapshot;
	/** Time until which the request waits for a verdict on its intent. */
	readonly waitUntil: number;
	/** Shard writer that the intent was handed over to. */
	readonly handedOverTo?: model.VmId;
	/** Time at which the router commits the intent itself when the writer has returned no verdict; absent once it does so. */
	readonly fallbackAt?: number;
};

/** A settlement that was handed over to a shard writer and is not confirmed yet. */
export type HandedOverSettlement = {
	readonly settlement: ledgerEntry.Settlement;
	/** Time at which the router records the settlement itself. */
	readonly fallbackAt: number;
};

/** An attempt that was abandoned before it was sent. */
export type AbandonedAttempt = {
	readonly intent: ledgerEntry.Intent;
	/** Time until which a late commit of the attempt is withdrawn. */
	readonly expiresAt: number;
};

/** State of the ledger at one router. */
export type LedgerNode = {
	readonly self: LedgerMember;
	readonly options: ledgerOptions.LedgerOptions;
	/** Live routers, including this one. */
	readonly members: readonly LedgerMember[];
	readonly shards: ReadonlyMap<number, shardWriter.ShardWriter>;
	readonly attempts: ReadonlyMap<model.AttemptId, LocalAttempt>;
	readonly handedOverSettlements: ReadonlyMap<model.AttemptId, HandedOverSettlement>;
	readonly abandonedAttempts: ReadonlyMap<model.AttemptId, AbandonedAttempt>;
};

/** Creates the ledger state of a router that knows no other members. */
export function createLedgerNode(self: LedgerMember, options: ledgerOptions.LedgerOptions): LedgerNode {
	return {
		self,
		options,
		members: [self],
		shards: new Map(),
		attempts: new Map(),
		handedOverSettlements: new Map(),
		abandonedAttempts: new Map(),
	};
}

/** Sets the live routers; this router is always among them. */
export function setMembers(node: LedgerNode, members: readonly LedgerMember[]): LedgerNode {
	const others = members.filter(member => member.vm !== node.self.vm);
	return {...node, members: [node.self, ...others]};
}

/** Returns the rules by which the router evaluates intents. */
export function createRules(node: LedgerNode): proposeIntents.LedgerRules {
	const live = new Set(node.members.map(member => `${member.vm}/${member.incarnation}`));
	return {options: node.options, isLive: (vm, incarnation) => live.has(`${vm}/${incarnation}`)};
}

/** Returns a copy of a map with an entry set, or removed when the value is `undefined`. */
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
	/** Whether the request may be sent now; true at most once for an attempt. */
	readonly allowed: boolean;
};

/**
 * Claims the single permission to send a recorded attempt; called right before the first byte is written. It is refused
 * when the intent is not recorded, is settled, or is older than the send window, since its entry could have expired.
 */
export function claimSend(node: LedgerNode, attempt: model.AttemptId, now: number): SendClaim {
	const localAttempt = node.attempts.get(attempt);
	const isCommitted = localAttempt !== undefined
		&& intentMachine.getIntentPhase(localAttempt.snapshot) === intentMachine.IntentPhase.Committed;
	if (!isCommitted || now >= localAttempt.intent.at + node.options.sendWindowMs) {
		return {node, allowed: false};
	}

	const sent = {...localAttempt, snapshot: intentMachine.stepIntent(localAttempt.snapshot, intentMachine.IntentEventType.Send)};
	return {node: {...node, attempts: withEntry(node.attempts, attempt, sent)}, allowed: true};
}

/** Returns the time at which the next `wake` event is due, or `undefined` when none is needed. */
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

/** Returns whether the router has nothing left to record, so that it can stop. */
export function isLedgerIdle(node: LedgerNode): boolean {
	return node.attempts.size === 0 && node.handedOverSettlements.size === 0
		&& [...node.shards.values()].every(shard => shard.call === undefined && shard.queue.length === 0);
}

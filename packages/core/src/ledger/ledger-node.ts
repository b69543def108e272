import type * as model from '../model/index.js';
import * as intentMachine from './intent-machine.js';
import type * as ledgerEntry from './ledger-entry.js';
import type * as ledgerTerms from './ledger-terms.js';
import type * as proposeIntents from './propose-intents.js';
import * as shardWriter from './shard-writer.js';

/** A live router. */
export type LedgerMember = {
	readonly vm: model.VmId;
	readonly incarnation: model.Incarnation;
};

/** An attempt of this router from its `begin` until it is settled. */
export type OwnAttempt = {
	readonly intent: ledgerEntry.Intent;
	readonly life: intentMachine.IntentSnapshot;
	readonly waitUntil: number;
	/** Writer that the intent was handed to. */
	readonly handedTo?: model.VmId;
	/** When the router commits the intent on its own; absent once it does. */
	readonly fallbackAt?: number;
};

/** A settlement that was handed to a writer and has no answer yet. */
export type HandedSettlement = {
	readonly settlement: ledgerEntry.Settlement;
	readonly fallbackAt: number;
};

/** An attempt that was given up unsent. */
export type GivenUpAttempt = {
	readonly intent: ledgerEntry.Intent;
	readonly until: number;
};

/** One router's part of the ledger. */
export type LedgerNode = {
	readonly self: LedgerMember;
	readonly terms: ledgerTerms.LedgerTerms;
	/** Live routers, this one among them. */
	readonly members: readonly LedgerMember[];
	readonly shards: ReadonlyMap<number, shardWriter.ShardWriter>;
	readonly attempts: ReadonlyMap<model.AttemptId, OwnAttempt>;
	readonly handed: ReadonlyMap<model.AttemptId, HandedSettlement>;
	/** Attempts that were given up, with the time until when a late commit of theirs is withdrawn. */
	readonly givenUp: ReadonlyMap<model.AttemptId, GivenUpAttempt>;
};

/** Creates a router's part of the ledger. */
export function createLedgerNode(self: LedgerMember, terms: ledgerTerms.LedgerTerms): LedgerNode {
	return {
		self, terms, members: [self], shards: new Map(), attempts: new Map(), handed: new Map(), givenUp: new Map(),
	};
}

/** Sets the live routers. */
export function setMembers(node: LedgerNode, members: readonly LedgerMember[]): LedgerNode {
	const others = members.filter(member => member.vm !== node.self.vm);
	return {...node, members: [node.self, ...others]};
}

/** Returns the rules that the router judges intents by. */
export function rulesOf(node: LedgerNode): proposeIntents.LedgerRules {
	const live = new Set(node.members.map(member => `${member.vm}/${member.incarnation}`));
	return {terms: node.terms, isLive: (vm, incarnation) => live.has(`${vm}/${incarnation}`)};
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
	const own = node.attempts.get(attempt);
	const isCommitted = own !== undefined && intentMachine.intentPhaseOf(own.life) === intentMachine.IntentPhase.Committed;
	if (!isCommitted || now >= own.intent.at + node.terms.sendWindowMs) {
		return {node, allowed: false};
	}

	const sent = {...own, life: intentMachine.stepIntent(own.life, intentMachine.IntentEventType.Send)};
	return {node: {...node, attempts: withEntry(node.attempts, attempt, sent)}, allowed: true};
}

/** Returns when the next `wake` is due, or `undefined` when nothing waits for time. */
export function nextWakeOf(node: LedgerNode): number | undefined {
	const rules = rulesOf(node);
	const times: number[] = [];
	for (const own of node.attempts.values()) {
		if (intentMachine.intentPhaseOf(own.life) === intentMachine.IntentPhase.Proposed) {
			times.push(Math.min(own.waitUntil, own.fallbackAt ?? own.waitUntil));
		}
	}

	for (const {fallbackAt} of node.handed.values()) {
		times.push(fallbackAt);
	}

	for (const shard of node.shards.values()) {
		const wakeAt = shardWriter.wakeTimeOf(shard, rules);
		if (wakeAt !== undefined) {
			times.push(wakeAt);
		}
	}

	return times.length === 0 ? undefined : Math.min(...times);
}

/** Returns whether the router has nothing left to record; it may stop then. */
export function isLedgerIdle(node: LedgerNode): boolean {
	return node.attempts.size === 0 && node.handed.size === 0
		&& [...node.shards.values()].every(shard => shard.call === undefined && shard.queue.length === 0);
}

import type * as model from '../model/index.js';
import * as util from '../util/index.js';
import * as intentMachine from './intent-machine.js';
import type * as issuedKey from './issued-key.js';
import type * as ledgerEntry from './ledger-entry.js';
import * as ledgerEvent from './ledger-event.js';
import * as ledgerVerdict from './ledger-verdict.js';

/** Limits and times of issued keys. */
export type IssuedKeyTerms = {
	/** Time from issue within which a key may be used first. */
	readonly lifetimeMs: number;
	/** Time after the lifetime for which the use of a key is remembered. */
	readonly retentionMs: number;
	/** Used keys that are remembered; further ones are refused. */
	readonly maxUses: number;
	/** Size of an outcome's body above which only its status is kept, in bytes. */
	readonly maxOutcomeBytes: number;
};

/** Creates the terms of issued keys from their defaults and the given changes. */
export function createIssuedKeyTerms(changes: Partial<IssuedKeyTerms> = {}): IssuedKeyTerms {
	return {
		lifetimeMs: 900_000, retentionMs: 3_600_000, maxUses: 50_000, maxOutcomeBytes: 4096, ...changes,
	};
}

/** The use of one issued key. */
type KeyUse = {
	readonly digest: string;
	readonly attempt: model.AttemptId;
	readonly life: intentMachine.IntentSnapshot;
	readonly outcome?: ledgerEntry.RecordedOutcome;
	readonly forgetAt: number;
};

/** What a router remembers of the keys that it issued. An unused key needs no memory. */
export type IssuedKeyMemory = {
	readonly terms: IssuedKeyTerms;
	/** The latest time seen; time that goes back makes no expired key valid. */
	readonly latestAt: number;
	/** By nonce, in the order of first use. */
	readonly uses: ReadonlyMap<string, KeyUse>;
};

/** Result of {@link beginIssued}. */
export type IssuedBegin = {
	readonly memory: IssuedKeyMemory;
	readonly verdict: ledgerVerdict.LedgerVerdict;
};

/** Creates an empty memory. */
export function createIssuedKeyMemory(terms: IssuedKeyTerms): IssuedKeyMemory {
	return {terms, latestAt: 0, uses: new Map()};
}

function advance(memory: IssuedKeyMemory, now: number): IssuedKeyMemory {
	return {...memory, latestAt: Math.max(memory.latestAt, now)};
}

/** Notes the time of an issue, after which the key is valid. */
export function noteIssue(memory: IssuedKeyMemory, now: number): IssuedKeyMemory {
	return advance(memory, now);
}

/** Drops uses that are past their retention. */
export function forgetUses(memory: IssuedKeyMemory, now: number): IssuedKeyMemory {
	const next = advance(memory, now);
	return {...next, uses: new Map([...next.uses].filter(([, use]) => use.forgetAt > next.latestAt))};
}

function withUse(memory: IssuedKeyMemory, nonce: string, use: KeyUse | undefined): IssuedKeyMemory {
	const uses = new Map(memory.uses);
	if (use === undefined) {
		uses.delete(nonce);
	} else {
		uses.set(nonce, use);
	}

	return {...memory, uses};
}

function judgeUse(use: KeyUse, digest: string): ledgerVerdict.VerdictType {
	if (use.digest !== digest) {
		return ledgerVerdict.VerdictType.KeyReused;
	}

	const phase = intentMachine.intentPhaseOf(use.life);
	if (phase === intentMachine.IntentPhase.Done) {
		return ledgerVerdict.VerdictType.Replay;
	}

	const isUnknown = phase === intentMachine.IntentPhase.Unknown;
	return isUnknown ? ledgerVerdict.VerdictType.OutcomeUnknown : ledgerVerdict.VerdictType.InProgress;
}

function judgeUnused(memory: IssuedKeyMemory, key: issuedKey.IssuedKey): ledgerVerdict.VerdictType {
	const {terms, latestAt, uses} = memory;
	if (key.issuedAt > latestAt) {
		return ledgerVerdict.VerdictType.Expired;
	}

	const expiresAt = key.issuedAt + terms.lifetimeMs;
	if (latestAt >= expiresAt + terms.retentionMs) {
		return ledgerVerdict.VerdictType.OutcomeUnknown;
	}

	if (latestAt >= expiresAt) {
		return ledgerVerdict.VerdictType.Expired;
	}

	return uses.size >= terms.maxUses ? ledgerVerdict.VerdictType.Full : ledgerVerdict.VerdictType.Proceed;
}

/** Decides whether a request with a key that this incarnation issued may be sent. */
export function beginIssued(
	before: IssuedKeyMemory,
	key: issuedKey.IssuedKey,
	request: {readonly digest: string; readonly attempt: model.AttemptId},
	now: number,
): IssuedBegin {
	const memory = advance(before, now);
	const {attempt, digest} = request;
	const use = memory.uses.get(key.nonce);
	if (use !== undefined) {
		const type = judgeUse(use, digest);
		const isReplay = type === ledgerVerdict.VerdictType.Replay && use.outcome !== undefined;
		return {memory, verdict: {type, attempt, ...(isReplay && {outcome: use.outcome})}};
	}

	const type = judgeUnused(memory, key);
	if (type !== ledgerVerdict.VerdictType.Proceed) {
		return {memory, verdict: {type, attempt}};
	}

	const life = intentMachine.stepIntent(intentMachine.beginIntent(), intentMachine.IntentEventType.Commit);
	const forgetAt = key.issuedAt + memory.terms.lifetimeMs + memory.terms.retentionMs;
	const next = withUse(memory, key.nonce, {
		digest, attempt, life, forgetAt,
	});
	return {memory: next, verdict: {type, attempt}};
}

/** Takes the one permission to send; asked right before the first byte. */
export function claimIssued(
	memory: IssuedKeyMemory,
	nonce: string,
	attempt: model.AttemptId,
): {readonly memory: IssuedKeyMemory; readonly allowed: boolean} {
	const use = memory.uses.get(nonce);
	const isOwn = use?.attempt === attempt && intentMachine.intentPhaseOf(use.life) === intentMachine.IntentPhase.Committed;
	if (!isOwn) {
		return {memory, allowed: false};
	}

	const life = intentMachine.stepIntent(use.life, intentMachine.IntentEventType.Send);
	return {memory: withUse(memory, nonce, {...use, life}), allowed: true};
}

/** Records how an attempt came out. A key whose request was never run is free again. */
export function settleIssued(
	memory: IssuedKeyMemory,
	nonce: string,
	settled: {
		readonly attempt: model.AttemptId;
		readonly result: ledgerEvent.AttemptResult;
		readonly outcome?: ledgerEntry.RecordedOutcome;
	},
): IssuedKeyMemory {
	const {attempt, result, outcome} = settled;
	const use = memory.uses.get(nonce);
	if (use === undefined) {
		return memory;
	}

	util.assertInvariant(use.attempt === attempt, 'issued-key.one-attempt', () => `${attempt} settles the key of ${use.attempt}`);
	const life = intentMachine.stepIntent(use.life, ledgerEvent.eventOfResult(result));
	if (intentMachine.intentPhaseOf(life) === intentMachine.IntentPhase.Dead) {
		return withUse(memory, nonce, undefined);
	}

	const isKept = (outcome?.body?.length ?? 0) <= memory.terms.maxOutcomeBytes;
	const kept = outcome === undefined || isKept ? outcome : {status: outcome.status};
	return withUse(memory, nonce, {...use, life, ...(kept && {outcome: kept})});
}

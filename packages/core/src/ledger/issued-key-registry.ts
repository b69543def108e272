import type * as model from '../model/index.js';
import * as util from '../util/index.js';
import * as intentMachine from './intent-machine.js';
import type * as issuedKey from './issued-key.js';
import type * as ledgerEntry from './ledger-entry.js';
import * as ledgerEvent from './ledger-event.js';
import * as ledgerVerdict from './ledger-verdict.js';

/** Limits and times of issued keys. */
export type IssuedKeyOptions = {
	/** Time from issue within which a key may be used first. */
	readonly lifetimeMs: number;
	/** Time after the lifetime for which the use of a key is remembered. */
	readonly retentionMs: number;
	/** Used keys that are remembered; further ones are refused. */
	readonly maxUses: number;
	/** Size of an outcome's body above which only its status is kept, in bytes. */
	readonly maxOutcomeBytes: number;
};

/** Creates the options of issued keys from their defaults and the given changes. */
export function createIssuedKeyOptions(changes: Partial<IssuedKeyOptions> = {}): IssuedKeyOptions {
	return {
		lifetimeMs: 900_000, retentionMs: 3_600_000, maxUses: 50_000, maxOutcomeBytes: 4096, ...changes,
	};
}

/** The use of one issued key. */
type KeyUse = {
	readonly digest: string;
	readonly attempt: model.AttemptId;
	readonly snapshot: intentMachine.IntentSnapshot;
	readonly outcome?: ledgerEntry.RecordedOutcome;
	readonly removeAt: number;
};

/** What a router remembers of the keys that it issued. An unused key needs no registry. */
export type IssuedKeyRegistry = {
	readonly options: IssuedKeyOptions;
	/** The latest time seen; time that goes back makes no expired key valid. */
	readonly latestAt: number;
	/** By nonce, in the order of first use. */
	readonly uses: ReadonlyMap<string, KeyUse>;
};

/** Result of {@link beginIssuedAttempt}. */
export type BeginIssuedAttemptResult = {
	readonly registry: IssuedKeyRegistry;
	readonly verdict: ledgerVerdict.LedgerVerdict;
};

/** Creates an empty registry. */
export function createIssuedKeyRegistry(options: IssuedKeyOptions): IssuedKeyRegistry {
	return {options, latestAt: 0, uses: new Map()};
}

function advanceTime(registry: IssuedKeyRegistry, now: number): IssuedKeyRegistry {
	return {...registry, latestAt: Math.max(registry.latestAt, now)};
}

/** Notes the time of an issue, after which the key is valid. */
export function recordKeyIssue(registry: IssuedKeyRegistry, now: number): IssuedKeyRegistry {
	return advanceTime(registry, now);
}

/** Drops uses that are past their retention. */
export function removeExpiredUses(registry: IssuedKeyRegistry, now: number): IssuedKeyRegistry {
	const next = advanceTime(registry, now);
	return {...next, uses: new Map([...next.uses].filter(([, use]) => use.removeAt > next.latestAt))};
}

function withUse(registry: IssuedKeyRegistry, nonce: string, use: KeyUse | undefined): IssuedKeyRegistry {
	const uses = new Map(registry.uses);
	if (use === undefined) {
		uses.delete(nonce);
	} else {
		uses.set(nonce, use);
	}

	return {...registry, uses};
}

function evaluateUse(use: KeyUse, digest: string): ledgerVerdict.VerdictType {
	if (use.digest !== digest) {
		return ledgerVerdict.VerdictType.KeyReused;
	}

	const phase = intentMachine.getIntentPhase(use.snapshot);
	if (phase === intentMachine.IntentPhase.Done) {
		return ledgerVerdict.VerdictType.Replay;
	}

	const isUnknown = phase === intentMachine.IntentPhase.Unknown;
	return isUnknown ? ledgerVerdict.VerdictType.OutcomeUnknown : ledgerVerdict.VerdictType.InProgress;
}

function evaluateUnusedKey(registry: IssuedKeyRegistry, key: issuedKey.IssuedKey): ledgerVerdict.VerdictType {
	const {options, latestAt, uses} = registry;
	if (key.issuedAt > latestAt) {
		return ledgerVerdict.VerdictType.Expired;
	}

	const expiresAt = key.issuedAt + options.lifetimeMs;
	if (latestAt >= expiresAt + options.retentionMs) {
		return ledgerVerdict.VerdictType.OutcomeUnknown;
	}

	if (latestAt >= expiresAt) {
		return ledgerVerdict.VerdictType.Expired;
	}

	return uses.size >= options.maxUses ? ledgerVerdict.VerdictType.Full : ledgerVerdict.VerdictType.Proceed;
}

/** Decides whether a request with a key that this incarnation issued may be sent. */
export function beginIssuedAttempt(
	before: IssuedKeyRegistry,
	key: issuedKey.IssuedKey,
	request: {readonly digest: string; readonly attempt: model.AttemptId},
	now: number,
): BeginIssuedAttemptResult {
	const registry = advanceTime(before, now);
	const {attempt, digest} = request;
	const use = registry.uses.get(key.nonce);
	if (use !== undefined) {
		const type = evaluateUse(use, digest);
		const isReplay = type === ledgerVerdict.VerdictType.Replay && use.outcome !== undefined;
		return {registry, verdict: {type, attempt, ...(isReplay && {outcome: use.outcome})}};
	}

	const type = evaluateUnusedKey(registry, key);
	if (type !== ledgerVerdict.VerdictType.Proceed) {
		return {registry, verdict: {type, attempt}};
	}

	const snapshot = intentMachine.stepIntent(intentMachine.createIntentSnapshot(), intentMachine.IntentEventType.Commit);
	const removeAt = key.issuedAt + registry.options.lifetimeMs + registry.options.retentionMs;
	const next = withUse(registry, key.nonce, {
		digest, attempt, snapshot, removeAt,
	});
	return {registry: next, verdict: {type, attempt}};
}

/** Takes the one permission to send; asked right before the first byte. */
export function claimIssuedSend(
	registry: IssuedKeyRegistry,
	nonce: string,
	attempt: model.AttemptId,
): {readonly registry: IssuedKeyRegistry; readonly allowed: boolean} {
	const use = registry.uses.get(nonce);
	const isOwn = use?.attempt === attempt && intentMachine.getIntentPhase(use.snapshot) === intentMachine.IntentPhase.Committed;
	if (!isOwn) {
		return {registry, allowed: false};
	}

	const snapshot = intentMachine.stepIntent(use.snapshot, intentMachine.IntentEventType.Send);
	return {registry: withUse(registry, nonce, {...use, snapshot}), allowed: true};
}

/** Records how an attempt came out. A key whose request was never run is free again. */
export function settleIssuedAttempt(
	registry: IssuedKeyRegistry,
	nonce: string,
	settled: {
		readonly attempt: model.AttemptId;
		readonly result: ledgerEvent.AttemptResult;
		readonly outcome?: ledgerEntry.RecordedOutcome;
	},
): IssuedKeyRegistry {
	const {attempt, result, outcome} = settled;
	const use = registry.uses.get(nonce);
	if (use === undefined) {
		return registry;
	}

	util.assertInvariant(use.attempt === attempt, 'issued-key.one-attempt', () => `${attempt} settles the key of ${use.attempt}`);
	const snapshot = intentMachine.stepIntent(use.snapshot, ledgerEvent.getIntentEventForResult(result));
	if (intentMachine.getIntentPhase(snapshot) === intentMachine.IntentPhase.NotExecuted) {
		return withUse(registry, nonce, undefined);
	}

	const isKept = (outcome?.body?.length ?? 0) <= registry.options.maxOutcomeBytes;
	const kept = outcome === undefined || isKept ? outcome : {status: outcome.status};
	return withUse(registry, nonce, {...use, snapshot, ...(kept && {outcome: kept})});
}

import type * as model from '../model/index.js';
import * as util from '../util/index.js';
import * as intentMachine from './intent-machine.js';
import type * as issuedKey from './issued-key.js';
import type * as ledgerEntry from './ledger-entry.js';
import * as ledgerEvent from './ledger-event.js';
import * as ledgerVerdict from './ledger-verdict.js';

/** Limits and durations for issued keys. */
export type IssuedKeyOptions = {
	/** Time after its issue within which a key can be used for the first time. */
	readonly lifetimeMs: number;
	/** Time after the lifetime for which the use of a key is stored. */
	readonly retentionMs: number;
	/** Maximum number of stored uses; the first use of a further key is refused. */
	readonly maxUses: number;
	/** Response bodies larger than this are dropped and only the status is stored, in bytes. */
	readonly maxOutcomeBytes: number;
};

/** Returns the options for issued keys: the defaults, overridden by the given changes. */
export function createIssuedKeyOptions(changes: Partial<IssuedKeyOptions> = {}): IssuedKeyOptions {
	return {
		lifetimeMs: 900_000, retentionMs: 3_600_000, maxUses: 50_000, maxOutcomeBytes: 4096, ...changes,
	};
}

/** The stored use of an issued key. */
type KeyUse = {
	readonly digest: string;
	readonly attempt: model.AttemptId;
	readonly snapshot: intentMachine.IntentSnapshot;
	readonly outcome?: ledgerEntry.RecordedOutcome;
	readonly removeAt: number;
};

/** The used keys of those that a router issued. Unused keys are not stored. */
export type IssuedKeyRegistry = {
	readonly options: IssuedKeyOptions;
	/** Latest time observed, in milliseconds since the Unix epoch; an expired key stays expired when the clock is set back. */
	readonly latestAt: number;
	/** Uses by nonce, in the order of first use. */
	readonly uses: ReadonlyMap<string, KeyUse>;
};

/** Result of {@link beginIssuedAttempt}. */
export type BeginIssuedAttemptResult = {
	readonly registry: IssuedKeyRegistry;
	readonly verdict: ledgerVerdict.LedgerVerdict;
};

export function createIssuedKeyRegistry(options: IssuedKeyOptions): IssuedKeyRegistry {
	return {options, latestAt: 0, uses: new Map()};
}

function advanceTime(registry: IssuedKeyRegistry, now: number): IssuedKeyRegistry {
	return {...registry, latestAt: Math.max(registry.latestAt, now)};
}

/** Records the issue time of a key. A key whose issue time is later than the latest observed time is not accepted. */
export function recordKeyIssue(registry: IssuedKeyRegistry, now: number): IssuedKeyRegistry {
	return advanceTime(registry, now);
}

/** Removes uses whose retention has ended. */
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

/** Decides whether a request with a key that this incarnation issued may be sent, and stores the use of the key if so. */
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

/** Claims the single permission to send a request; called right before its first byte is written. */
export function claimIssuedSend(
	registry: IssuedKeyRegistry,
	nonce: string,
	attempt: model.AttemptId,
): {readonly registry: IssuedKeyRegistry; readonly allowed: boolean} {
	const use = registry.uses.get(nonce);
	const canSend = use?.attempt === attempt && intentMachine.getIntentPhase(use.snapshot) === intentMachine.IntentPhase.Committed;
	if (!canSend) {
		return {registry, allowed: false};
	}

	const snapshot = intentMachine.stepIntent(use.snapshot, intentMachine.IntentEventType.Send);
	return {registry: withUse(registry, nonce, {...use, snapshot}), allowed: true};
}

/** Records the result of an attempt. A key whose request was not executed can be used again. */
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

	util.assertInvariant(use.attempt === attempt, 'issued-key.one-attempt', () => `attempt ${attempt} settles the key of attempt ${use.attempt}`);
	const snapshot = intentMachine.stepIntent(use.snapshot, ledgerEvent.getIntentEventForResult(result));
	if (intentMachine.getIntentPhase(snapshot) === intentMachine.IntentPhase.NotExecuted) {
		return withUse(registry, nonce, undefined);
	}

	const fitsLimit = (outcome?.body?.length ?? 0) <= registry.options.maxOutcomeBytes;
	const storedOutcome = outcome === undefined || fitsLimit ? outcome : {status: outcome.status};
	return withUse(registry, nonce, {...use, snapshot, ...(storedOutcome && {outcome: storedOutcome})});
}

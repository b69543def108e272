import * as crypto from 'node:crypto';
import * as core from '@bluebellmast/core';
import type * as issueKeyFilter from '../filters/issue-key-filter.js';
import * as clock from '../util/clock.js';
import type * as metrics from '../util/metrics.js';
import type * as controller from './controller.js';
import * as ledgerBeginVerdict from './ledger-begin-verdict.js';
import * as oneShotTimer from './one-shot-timer.js';

/** Options of {@link createIssuedKeyController}. */
export type IssuedKeyControllerOptions = {
	readonly self: core.ledger.LedgerMember;
	readonly metrics: metrics.Metrics;
	/** System clock by default. */
	readonly clock?: clock.Clock;
	/** System timer by default. */
	readonly timer?: oneShotTimer.OneShotTimer;
	/** Overrides of the default options of issued keys. */
	readonly issuedKeyOptions?: Partial<core.ledger.IssuedKeyOptions>;
	/** Generates the nonce of a key; a random UUID by default. */
	readonly createNonce?: () => string;
	/** Milliseconds between removals of expired uses; 10,000 by default. */
	readonly cleanupIntervalMs?: number;
};

type ResolvedOptions = Required<Omit<IssuedKeyControllerOptions, 'issuedKeyOptions'>>;

/** Issues idempotency keys and decides on requests with such keys, without calls to the key-value service. */
export class IssuedKeyController implements controller.Controller, issueKeyFilter.KeyIssuer {
	readonly #options: ResolvedOptions;
	#registry: core.ledger.IssuedKeyRegistry;
	#members: readonly core.ledger.LedgerMember[];
	readonly #nonces = new Map<core.model.AttemptId, string>();
	#cancelCleanup?: () => void;

	constructor(options: ResolvedOptions, issuedKeyOptions: core.ledger.IssuedKeyOptions) {
		this.#options = options;
		this.#registry = core.ledger.createIssuedKeyRegistry(issuedKeyOptions);
		this.#members = [options.self];
	}

	async start(): Promise<void> {
		this.#scheduleCleanup();
	}

	async stop(): Promise<void> {
		this.#cancelCleanup?.();
	}

	/** Sets the live routers; requests with keys that they issued are forwarded to them. */
	setMembers(members: readonly core.ledger.LedgerMember[]): void {
		this.#members = members;
	}

	/** Issues a key to an account. */
	issue(account: core.model.AccountId, now: number = this.#options.clock.now()): issueKeyFilter.IssuedKeyGrant {
		const {self, createNonce, metrics} = this.#options;
		this.#registry = core.ledger.recordKeyIssue(this.#registry, now);
		const key = core.ledger.formatIssuedKey({
			...self, issuedAt: now, account, nonce: createNonce(),
		});
		metrics.increment('ledger.issued');
		return {key, expiresAt: now + this.#registry.options.lifetimeMs};
	}

	/** Returns the router that issued a key if it is another live router, otherwise `undefined`. */
	findIssuer(text: string, account: core.model.AccountId): core.ledger.LedgerMember | undefined {
		const key = core.ledger.parseIssuedKey(text);
		if (key === undefined || this.#route(key, account) !== core.ledger.IssuedKeyRoute.Forward) {
			return undefined;
		}

		return {vm: key.vm, incarnation: key.incarnation};
	}

	/** Decides on a request with an issued key. */
	begin(req: ledgerBeginVerdict.BeginRequest, key: core.ledger.IssuedKey): ledgerBeginVerdict.BeginVerdict {
		const {account, attempt} = req;
		switch (this.#route(key, account)) {
			case core.ledger.IssuedKeyRoute.Local: {
				return this.#beginLocally(req, key);
			}

			case core.ledger.IssuedKeyRoute.Forward: {
				return {type: ledgerBeginVerdict.BeginVerdictType.Forward, to: key.vm, incarnation: key.incarnation};
			}

			case core.ledger.IssuedKeyRoute.IssuerGone: {
				return ledgerBeginVerdict.toBeginVerdict({type: core.ledger.VerdictType.OutcomeUnknown, attempt});
			}

			case core.ledger.IssuedKeyRoute.OtherAccount: {
				return ledgerBeginVerdict.toBeginVerdict({type: core.ledger.VerdictType.KeyReused, attempt});
			}
		}
	}

	/** Returns whether the attempt was started here with an issued key and is not settled yet. */
	ownsAttempt(attempt: core.model.AttemptId): boolean {
		return this.#nonces.has(attempt);
	}

	/** Claims the single permission to send; called right before the first byte is sent. */
	claimSend(attempt: core.model.AttemptId): boolean {
		const claim = core.ledger.claimIssuedSend(this.#registry, this.#nonces.get(attempt) ?? '', attempt);
		this.#registry = claim.registry;
		return claim.allowed;
	}

	/** Records the result of an attempt. */
	settle(
		attempt: core.model.AttemptId,
		result: core.ledger.AttemptResult,
		outcome?: core.ledger.RecordedOutcome,
	): void {
		const nonce = this.#nonces.get(attempt);
		this.#nonces.delete(attempt);
		if (nonce !== undefined) {
			this.#registry = core.ledger.settleIssuedAttempt(this.#registry, nonce, {attempt, result, ...(outcome && {outcome})});
		}
	}

	#route(key: core.ledger.IssuedKey, account: core.model.AccountId): core.ledger.IssuedKeyRoute {
		const {self} = this.#options;
		const isLive = (vm: core.model.VmId, incarnation: core.model.Incarnation) =>
			this.#members.some(member => member.vm === vm && member.incarnation === incarnation);
		return core.ledger.routeIssuedKey(key, {account, self, isLive});
	}

	#beginLocally(req: ledgerBeginVerdict.BeginRequest, key: core.ledger.IssuedKey): ledgerBeginVerdict.BeginVerdict {
		const {clock, metrics} = this.#options;
		const {registry, verdict} = core.ledger.beginIssuedAttempt(this.#registry, key, req, clock.now());
		this.#registry = registry;
		if (verdict.type === core.ledger.VerdictType.Proceed) {
			this.#nonces.set(req.attempt, key.nonce);
		}

		metrics.increment('ledger.issued.verdict', 1, {type: verdict.type});
		return ledgerBeginVerdict.toBeginVerdict(verdict);
	}

	#scheduleCleanup(): void {
		const {timer, clock, cleanupIntervalMs} = this.#options;
		this.#cancelCleanup = timer.after(cleanupIntervalMs, () => {
			this.#registry = core.ledger.removeExpiredUses(this.#registry, clock.now());
			this.#scheduleCleanup();
		});
	}
}

/** Creates an issued-key controller; omitted options get their default values. */
export function createIssuedKeyController(options: IssuedKeyControllerOptions): IssuedKeyController {
	const {
		self, metrics,
		clock: time = new clock.SystemClock(),
		timer = new oneShotTimer.SystemTimer(),
		issuedKeyOptions = {},
		createNonce = () => crypto.randomUUID(),
		cleanupIntervalMs = 10_000,
	} = options;
	const resolvedOptions = {
		self, metrics, clock: time, timer, createNonce, cleanupIntervalMs,
	};
	return new IssuedKeyController(resolvedOptions, core.ledger.createIssuedKeyOptions(issuedKeyOptions));
}

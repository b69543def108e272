import * as crypto from 'node:crypto';
import * as core from '@bluebellmast/core';
import * as clock from '../util/clock.js';
import type * as metrics from '../util/metrics.js';
import type * as controller from './controller.js';
import * as ledgerBeginVerdict from './ledger-begin-verdict.js';
import * as ledgerTimer from './ledger-timer.js';

/** Options of {@link createIssuedKeyController}. */
export type IssuedKeyControllerOptions = {
	readonly self: core.ledger.LedgerMember;
	readonly metrics: metrics.Metrics;
	/** Clock of the machine by default. */
	readonly clock?: clock.Clock;
	/** Timer of the machine by default. */
	readonly timer?: ledgerTimer.LedgerTimer;
	/** Changes to the default terms. */
	readonly terms?: Partial<core.ledger.IssuedKeyOptions>;
	/** Draws the nonce of a key; a random UUID by default. */
	readonly createNonce?: () => string;
	/** Time between two passes that forget old uses; 10,000 by default. */
	readonly forgetIntervalMs?: number;
};

/** A key as it is given to a caller. */
export type IssuedKeyGrant = {
	readonly key: string;
	/** Time by which the key must be used first, in milliseconds since the epoch. */
	readonly expiresAt: number;
};

type SettledOptions = Required<Omit<IssuedKeyControllerOptions, 'terms'>>;

/** Issues idempotency keys, and decides about requests that carry one. It makes no call to the key-value service. */
export class IssuedKeyController implements controller.Controller {
	readonly #options: SettledOptions;
	#memory: core.ledger.IssuedKeyRegistry;
	#members: readonly core.ledger.LedgerMember[];
	readonly #nonces = new Map<core.model.AttemptId, string>();
	#cancelForget?: () => void;

	constructor(options: SettledOptions, terms: core.ledger.IssuedKeyOptions) {
		this.#options = options;
		this.#memory = core.ledger.createIssuedKeyRegistry(terms);
		this.#members = [options.self];
	}

	async start(): Promise<void> {
		this.#scheduleForget();
	}

	async stop(): Promise<void> {
		this.#cancelForget?.();
	}

	/** Sets the live routers, to which requests with their keys are forwarded. */
	setMembers(members: readonly core.ledger.LedgerMember[]): void {
		this.#members = members;
	}

	/** Issues a key to an account. */
	issue(account: core.model.AccountId, now: number = this.#options.clock.now()): IssuedKeyGrant {
		const {self, createNonce, metrics} = this.#options;
		this.#memory = core.ledger.recordKeyIssue(this.#memory, now);
		const key = core.ledger.formatIssuedKey({
			...self, issuedAt: now, account, nonce: createNonce(),
		});
		metrics.increment('ledger.issued');
		return {key, expiresAt: now + this.#memory.options.lifetimeMs};
	}

	/** Returns who issued a key, when that is another live router whose memory decides about it. */
	issuerOf(text: string, account: core.model.AccountId): core.ledger.LedgerMember | undefined {
		const key = core.ledger.parseIssuedKey(text);
		if (key === undefined || this.#route(key, account) !== core.ledger.IssuedKeyRoute.Forward) {
			return undefined;
		}

		return {vm: key.vm, incarnation: key.incarnation};
	}

	/** Decides about a request with an issued key. */
	begin(req: ledgerBeginVerdict.BeginRequest, key: core.ledger.IssuedKey): ledgerBeginVerdict.BeginVerdict {
		const {account, attempt} = req;
		switch (this.#route(key, account)) {
			case core.ledger.IssuedKeyRoute.Local: {
				return this.#beginHere(req, key);
			}

			case core.ledger.IssuedKeyRoute.Forward: {
				return {type: ledgerBeginVerdict.BeginVerdictType.Forward, to: key.vm, incarnation: key.incarnation};
			}

			case core.ledger.IssuedKeyRoute.IssuerGone: {
				return ledgerBeginVerdict.beginVerdictOf({type: core.ledger.VerdictType.OutcomeUnknown, attempt});
			}

			case core.ledger.IssuedKeyRoute.OtherAccount: {
				return ledgerBeginVerdict.beginVerdictOf({type: core.ledger.VerdictType.KeyReused, attempt});
			}
		}
	}

	/** Returns whether the attempt was begun here with an issued key and is not settled. */
	owns(attempt: core.model.AttemptId): boolean {
		return this.#nonces.has(attempt);
	}

	/** Takes the one permission to send; asked right before the first byte. */
	claimSend(attempt: core.model.AttemptId): boolean {
		const claim = core.ledger.claimIssuedSend(this.#memory, this.#nonces.get(attempt) ?? '', attempt);
		this.#memory = claim.registry;
		return claim.allowed;
	}

	/** Records how an attempt came out. */
	settle(
		attempt: core.model.AttemptId,
		result: core.ledger.AttemptResult,
		outcome?: core.ledger.RecordedOutcome,
	): void {
		const nonce = this.#nonces.get(attempt);
		this.#nonces.delete(attempt);
		if (nonce !== undefined) {
			this.#memory = core.ledger.settleIssuedAttempt(this.#memory, nonce, {attempt, result, ...(outcome && {outcome})});
		}
	}

	#route(key: core.ledger.IssuedKey, account: core.model.AccountId): core.ledger.IssuedKeyRoute {
		const {self} = this.#options;
		const isLive = (vm: core.model.VmId, incarnation: core.model.Incarnation) =>
			this.#members.some(member => member.vm === vm && member.incarnation === incarnation);
		return core.ledger.routeIssuedKey(key, {account, self, isLive});
	}

	#beginHere(req: ledgerBeginVerdict.BeginRequest, key: core.ledger.IssuedKey): ledgerBeginVerdict.BeginVerdict {
		const {clock, metrics} = this.#options;
		const {registry: memory, verdict} = core.ledger.beginIssuedAttempt(this.#memory, key, req, clock.now());
		this.#memory = memory;
		if (verdict.type === core.ledger.VerdictType.Proceed) {
			this.#nonces.set(req.attempt, key.nonce);
		}

		metrics.increment('ledger.issued.verdict', 1, {type: verdict.type});
		return ledgerBeginVerdict.beginVerdictOf(verdict);
	}

	#scheduleForget(): void {
		const {timer, clock, forgetIntervalMs} = this.#options;
		this.#cancelForget = timer.after(forgetIntervalMs, () => {
			this.#memory = core.ledger.removeExpiredUses(this.#memory, clock.now());
			this.#scheduleForget();
		});
	}
}

/** Creates the controller of issued keys. */
export function createIssuedKeyController(options: IssuedKeyControllerOptions): IssuedKeyController {
	const {
		self, metrics,
		clock: time = new clock.SystemClock(),
		timer = new ledgerTimer.SystemTimer(),
		terms = {},
		createNonce = () => crypto.randomUUID(),
		forgetIntervalMs = 10_000,
	} = options;
	const settled = {
		self, metrics, clock: time, timer, createNonce, forgetIntervalMs,
	};
	return new IssuedKeyController(settled, core.ledger.createIssuedKeyOptions(terms));
}

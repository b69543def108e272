import * as core from '@bluebellmast/core';
import type * as clocks from '../util/clocks.js';
import * as refusals from './refusal.js';

/** Decides over all VMs whether the quota of an account admits a request. */
export type QuotaSource = {
	/** Takes the units of one attempt. */
	take(account: string, units: number): Promise<core.quota.DecidedAsk>;
	/** Gives units back that were taken and provably not used. */
	giveBack(account: string, units: number): void;
};

/** Options of {@link QuotaPermit}. */
export type QuotaPermitOptions = {
	readonly account: string;
	/** Units of one attempt. */
	readonly units: number;
	/** Number of the request from 0 (inclusive) to 1 (exclusive), at random. */
	readonly sample: number;
	readonly quotas: QuotaSource;
	readonly clock: Pick<clocks.Clocks, 'suspendAwareNow'>;
	/** Time within which a grant must be used, in milliseconds. */
	readonly maxGrantAgeMs: number;
};

/** Time of a grant, in milliseconds of the clock that includes suspensions. */
export type GrantTime = number;

/** Asks until one is granted in time to be used. */
const maxTakes = 2;
const refusalCodes = {
	[core.quota.QuotaOutcome.Exceeded]: refusals.RefusalCode.QuotaExceeded,
	[core.quota.QuotaOutcome.TooLarge]: refusals.RefusalCode.QuotaTooSmall,
	[core.quota.QuotaOutcome.Unavailable]: refusals.RefusalCode.QuotaUnavailable,
} as const;

/** The units of an account's quota that one request holds for its next attempt. */
export class QuotaPermit {
	/** Precedence of the request among those of all accounts, as of its latest grant; see {@link core.fleet.WaitingRequest}. */
	usageMark = 0;
	#grantedAt: GrantTime | undefined;
	#pending: Promise<refusals.Refusal | undefined> | undefined;
	#isReleased = false;

	constructor(private readonly options: QuotaPermitOptions) {}

	/** Whether an attempt may be sent now. */
	get isValid(): boolean {
		return this.#grantedAt !== undefined && this.#isRecent(this.#grantedAt);
	}

	/** Takes the units of the next attempt, unless they are held already. @returns A refusal if the quota does not allow it. */
	async acquire(): Promise<refusals.Refusal | undefined> {
		if (this.isValid) {
			return undefined;
		}

		this.#pending ??= this.#take();
		return this.#pending;
	}

	/** Uses the units for an attempt. @returns When they were granted; `undefined` if none are held. */
	use(): GrantTime | undefined {
		const grantedAt = this.isValid ? this.#grantedAt : undefined;
		if (grantedAt !== undefined) {
			this.#grantedAt = undefined;
		}

		return grantedAt;
	}

	/** Holds the units of an attempt again that was provably not executed, for the next one. */
	restore(grantedAt: GrantTime): void {
		if (this.#isReleased || this.#grantedAt !== undefined || !this.#isRecent(grantedAt)) {
			this.#giveBack();
		} else {
			this.#grantedAt = grantedAt;
		}
	}

	/** Gives back what is held, as the request has ended. */
	release(): void {
		this.#isReleased = true;
		this.#discard();
	}

	async #take(): Promise<refusals.Refusal | undefined> {
		const {account, units, quotas} = this.options;
		this.#discard();
		try {
			for (let count = 0; count < maxTakes; count++) {
				const {decision, keeper, askedAt} = await quotas.take(account, units); // eslint-disable-line no-await-in-loop -- A grant that came too late is followed by another ask.
				if (decision.outcome !== core.quota.QuotaOutcome.Granted) {
					return this.#createRefusal(decision.outcome, decision, keeper);
				}

				this.usageMark = decision.usage * this.options.sample;
				this.restore(askedAt);
				if (this.isValid || this.#isReleased) {
					return undefined;
				}
			}

			return {code: refusals.RefusalCode.QuotaUnavailable, retryAfterMs: refusals.noEndpointRetryAfterMs, inputs: {account, units}};
		} finally {
			this.#pending = undefined;
		}
	}

	#createRefusal(outcome: keyof typeof refusalCodes, decision: core.quota.QuotaDecision, keeper: string): refusals.Refusal {
		const {account, units} = this.options;
		return {
			code: refusalCodes[outcome],
			retryAfterMs: Number.isFinite(decision.retryAfterMs) ? decision.retryAfterMs : undefined,
			inputs: {
				account, units, availableUnits: Math.round(decision.availableUnits), heldShare: Number(decision.heldShare.toFixed(2)), keeper,
			},
		};
	}

	#discard(): void {
		if (this.#grantedAt !== undefined) {
			this.#grantedAt = undefined;
			this.#giveBack();
		}
	}

	#giveBack(): void {
		this.options.quotas.giveBack(this.options.account, this.options.units);
	}

	#isRecent(grantedAt: GrantTime): boolean {
		return this.options.clock.suspendAwareNow() - grantedAt <= this.options.maxGrantAgeMs;
	}
}

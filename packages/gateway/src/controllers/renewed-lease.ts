import * as clients from '@bluebellmast/kv';
import type * as clocks from '../util/clocks.js';

/** Options of a {@link RenewedLease}, in milliseconds. */
export type RenewedLeaseOptions = {
	readonly ttlMs: number;
	/** Interval between renewals; the lease survives two lost ones. */
	readonly renewIntervalMs: number;
	/** Shortest time between two attempts to renew. */
	readonly retryIntervalMs: number;
};

/** Result of {@link RenewedLease.renewIfDue}. */
export enum LeaseRenewal {
	/** No renewal was due. */
	NotDue = 'not_due',
	Renewed = 'renewed',
	/** The renewal failed; the lease may still exist. */
	Failed = 'failed',
	/** The lease does not exist any more, or can't be expected to. */
	Lost = 'lost',
}

/** Errors of a renewal after which the lease can't be used any more. */
const endedCodes: ReadonlySet<clients.kv.KvErrorCode> = new Set([clients.kv.KvErrorCode.LeaseLost, clients.kv.KvErrorCode.EraCrossed]);

/** A lease of the key-value store that is renewed before it ends. */
export class RenewedLease {
	#lease: clients.kv.KvLease | undefined;
	#renewedAt = -Infinity;
	#attemptedAt = -Infinity;
	#isRevoked = false;

	constructor(
		private readonly store: clients.kv.KeyValueClient,
		private readonly clock: clocks.Clocks,
		private readonly options: RenewedLeaseOptions,
	) {}

	/** The lease; absent before it is granted and after it was lost or dropped. */
	get lease(): clients.kv.KvLease | undefined {
		return this.#lease;
	}

	/** When the last grant or renewal was requested, in milliseconds of a clock that also counts the time that the VM was suspended. */
	get renewedAt(): number {
		return this.#renewedAt;
	}

	/** Requests a new lease. One that is granted after {@link RenewedLease.revoke} is revoked at once. */
	async grant(): Promise<void> {
		const sentAt = this.clock.suspendAwareNow();
		const granted = await this.store.grantLease(this.options.ttlMs);
		granted.ifRight(lease => {
			this.#lease = lease;
			this.#renewedAt = sentAt;
			this.#attemptedAt = sentAt;
		});
		if (this.#isRevoked) {
			await this.revoke();
		}
	}

	/** Renews the lease if it exists and a renewal is due. */
	async renewIfDue(): Promise<LeaseRenewal> {
		const sentAt = this.clock.suspendAwareNow();
		// A clock that was set back must not delay the renewal.
		const isDue = Math.abs(sentAt - this.#renewedAt) >= this.options.renewIntervalMs
			&& Math.abs(sentAt - this.#attemptedAt) >= this.options.retryIntervalMs;
		if (this.#lease === undefined || !isDue) {
			return LeaseRenewal.NotDue;
		}

		this.#attemptedAt = sentAt;
		const renewed = await this.store.keepLeaseAlive(this.#lease);
		if (renewed.isRight()) {
			this.#renewedAt = sentAt;
			return LeaseRenewal.Renewed;
		}

		const failure = renewed.extract() as clients.kv.KvError;
		const hasEnded = this.clock.suspendAwareNow() - this.#renewedAt > this.options.ttlMs;
		return endedCodes.has(failure.code) || hasEnded ? LeaseRenewal.Lost : LeaseRenewal.Failed;
	}

	/** Forgets the lease; it ends by itself. */
	drop(): void {
		this.#lease = undefined;
	}

	/** Ends the lease and the keys that are bound to it, for good. @returns The problem if the store could not be told. */
	async revoke(): Promise<string | undefined> {
		this.#isRevoked = true;
		const lease = this.#lease;
		this.#lease = undefined;
		if (lease === undefined) {
			return undefined;
		}

		const revoked = await this.store.revokeLease(lease);
		return revoked.isLeft() ? (revoked.extract()).message : undefined;
	}
}

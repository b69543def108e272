import * as buffer from 'node:buffer';
import * as core from '@bluebellmast/core';
import * as clients from '@bluebellmast/kv';
import type * as clocks from '../util/clocks.js';
import * as eventLog from '../util/event-log.js';
import type * as dutyController from './duty-controller.js';
import * as dutyKeys from './duty-keys.js';
import * as leaderCodec from './leader-codec.js';

/** Times of a VM's lease, in milliseconds. */
export type VmLeaseTerms = {
	readonly ttlMs: number;
	/** Pause between renewals: two may be lost before the lease ends. */
	readonly renewEveryMs: number;
	readonly leader: core.orders.LeaseOptions;
};

/** Returns the terms for a platform on which holders may not take turns within `holderGapMs`. */
export function createVmLeaseTerms(holderGapMs: number): VmLeaseTerms {
	// Short, since nobody gives orders until the lease of a lost leader ends; a slow day of the store answers in 240 ms.
	const ttlMs = 2000;
	return {
		ttlMs,
		renewEveryMs: 500,
		leader: {ttlMs, marginMs: 600, maxOrderDurationMs: orderWindowMs + holderGapMs + clockSlackMs},
	};
}

/** What the controller works with. */
export type LeaseControllerParts = {
	readonly vm: string;
	/** Tells the `IP:PORT` at which this VM takes digests of load. */
	readonly ownAddress: () => string;
	readonly store: clients.kv.KeyValueClient;
	readonly duties: dutyController.DutyController;
	readonly clock: clocks.Clocks;
	readonly log: eventLog.EventLog;
	readonly random: () => number;
};

/**
 * Time after the publication of a plan within which its orders are sent, in milliseconds. Whoever saw the plan knows by it
 * when the last order can have been sent.
 */
export const orderWindowMs = 600;
/** Part of the gap between two holders that is kept for timers that fire late, in milliseconds. */
const clockSlackMs = 150;

/** Longest random pause before a try to become the leader, in milliseconds, so that not all VMs try at once. */
const maxTryDelayMs = 150;
/**
 * Pause of an old process before the same, in milliseconds: while VMs are restarted in turn, the youngest process is the last
 * to be stopped next.
 */
const maxAgeDelayMs = 300;
/** Age at which half of that pause applies, in milliseconds: the order of a rolling restart of one VM. */
const halfDelayAgeMs = 10_000;

/** Keeps this VM's lease with its key among the VMs, and takes the leader's key when it is free. */
export class LeaseController {
	readonly #leader: core.orders.LeaderLease;
	#lease: clients.kv.KvLease | undefined;
	#renewedAt = -Infinity;
	#isRegistered = false;
	#leaderRevision = 0;
	#tryAt: number | undefined;
	#isStopping = false;
	readonly #startedAt: number;

	constructor(private readonly parts: LeaseControllerParts, private readonly terms: VmLeaseTerms) {
		this.#leader = new core.orders.LeaderLease(terms.leader);
		this.#startedAt = parts.clock.suspendAwareNow();
	}

	/** Fencing number for an order that is sent now, or `undefined` when this VM may send none. */
	fencing(): number | undefined {
		return this.#isStopping ? undefined : this.#leader.fencing(this.parts.clock.suspendAwareNow());
	}

	/** Whether this VM may give orders. */
	get isLeading(): boolean {
		return this.fencing() !== undefined;
	}

	/** Notes that an engine has seen a higher fencing number: another VM leads. */
	noteFenced(): void {
		this.#loseLease('fenced');
	}

	/** Renews the lease when due and takes free duties. */
	async tick(): Promise<void> {
		if (this.#isStopping) {
			return;
		}

		const now = this.parts.clock.suspendAwareNow();
		if (this.#lease === undefined) {
			await this.#grant();
		} else if (now - this.#renewedAt >= this.terms.renewEveryMs) {
			await this.#renew(this.#lease);
		}

		if (this.#lease !== undefined && !this.#isRegistered) {
			await this.#register(this.#lease);
		}

		if (this.#lease !== undefined && this.parts.duties.isRead) {
			await this.#seekLeadership(this.#lease);
		}
	}

	/** Gives the lease back, so that another VM takes the duties at once. */
	async stop(): Promise<void> {
		this.#isStopping = true;
		const lease = this.#lease;
		this.#lease = undefined;
		if (lease !== undefined) {
			const revoked = await this.parts.store.revokeLease(lease);
			revoked.ifLeft(failure => {
				this.parts.log.write(eventLog.LogEvent.LeaderLost, {reason: 'stop', problem: failure.message});
			});
		}
	}

	async #grant(): Promise<void> {
		const sentAt = this.parts.clock.suspendAwareNow();
		const granted = await this.parts.store.grantLease(this.terms.ttlMs);
		granted.ifRight(lease => {
			this.#lease = lease;
			this.#renewedAt = sentAt;
			this.#isRegistered = false;
		});
	}

	async #renew(lease: clients.kv.KvLease): Promise<void> {
		const sentAt = this.parts.clock.suspendAwareNow();
		const renewed = await this.parts.store.keepLeaseAlive(lease);
		const now = this.parts.clock.suspendAwareNow();
		renewed.ifRight(() => {
			this.#renewedAt = sentAt;
			this.#noteRenewed(sentAt, now);
		});
		renewed.ifLeft(failure => {
			if (failure.code === clients.kv.KvErrorCode.LeaseLost || now - this.#renewedAt > this.terms.ttlMs) {
				this.#loseLease(failure.code);
			}
		});
	}

	/**
	 * Prolongs the leadership by a renewal. Where this VM's clock took the lease for ended though the store did not, since it was
	 * set forward, the leader's key that still stands is taken anew.
	 */
	#noteRenewed(sentAt: number, now: number): void {
		if (this.#leaderRevision === 0) {
			return;
		}

		this.#leader.recordRenewal(sentAt, now);
		if (!this.#leader.isHeld(now)) {
			this.#leaderRevision = 0;
			this.parts.log.write(eventLog.LogEvent.LeaderLost, {reason: 'clock'});
		}
	}

	#loseLease(reason: string): void {
		if (this.#leaderRevision !== 0) {
			this.parts.log.write(eventLog.LogEvent.LeaderLost, {reason});
		}

		this.#leader.recordEnd();
		this.#leaderRevision = 0;
		this.#lease = undefined;
		this.#isRegistered = false;
	}

	async #register(lease: clients.kv.KvLease): Promise<void> {
		const key = `${dutyKeys.vmsPrefix}${this.parts.vm}`;
		const read = await this.parts.store.get(key);
		if (read.isLeft()) {
			return;
		}

		const revision = (read.extract() as clients.kv.KvEntry | undefined)?.revision ?? 0;
		const swap = await this.parts.store.compareAndSwap(key, revision, buffer.Buffer.from(this.parts.ownAddress()), lease.id);
		swap.ifRight(result => {
			this.#isRegistered = result.swapped;
		});
	}

	async #seekLeadership(lease: clients.kv.KvLease): Promise<void> {
		const {duties, clock} = this.parts;
		const {leader} = duties.view;
		if (this.#leaderRevision !== 0 || leader !== undefined) {
			this.#tryAt = undefined;
			await this.#adopt(leader, lease);
			return;
		}

		const now = clock.suspendAwareNow();
		this.#tryAt ??= now + this.#tryDelayMs(now);
		if (now < this.#tryAt) {
			return;
		}

		this.#tryAt = undefined;
		this.#leader.beginAcquiring(now);
		const value = leaderCodec.encodeLeader({vm: this.parts.vm, leaseId: lease.id});
		const swap = await this.parts.store.compareAndSwap(dutyKeys.leaderKey, 0, value, lease.id);
		const result = swap.toMaybe().extract();
		if (result?.swapped) {
			await this.#lead(result.revision);
		} else {
			this.#leader.recordRefusal();
		}
	}

	#tryDelayMs(now: number): number {
		const ageMs = now - this.#startedAt;
		return (this.parts.random() * maxTryDelayMs) + (maxAgeDelayMs * ageMs / (ageMs + halfDelayAgeMs));
	}

	/** Takes the leader's key that this VM wrote under its present lease though the answer was lost. */
	async #adopt(leader: dutyController.SeenLeader | undefined, lease: clients.kv.KvLease): Promise<void> {
		if (this.#leaderRevision === 0 && leader?.vm === this.parts.vm && leader.leaseId === lease.id) {
			this.#leader.beginAcquiring(this.parts.clock.suspendAwareNow());
			await this.#lead(leader.revision);
		}
	}

	async #lead(revision: number): Promise<void> {
		const {clock, log} = this.parts;
		this.#leaderRevision = revision;
		const now = clock.suspendAwareNow();
		const lastOrderAt = await this.#lastOrderAt();
		const clearAt = lastOrderAt + this.terms.leader.maxOrderDurationMs;
		this.#leader.recordGrant(revision, this.#renewedAt, clock.suspendAwareNow(), clearAt);
		log.write(eventLog.LogEvent.LeaderGained, {fence: revision, clearInMs: Math.round(Math.max(0, clearAt - now))});
	}

	/** When the last plan was published at the latest; minus infinity where there is none. */
	async #lastOrderAt(): Promise<number> {
		const {store, duties, clock} = this.parts;
		const read = await store.get(dutyKeys.planKey);
		const isKnown = read.map(entry => (entry?.revision ?? 0) <= duties.view.planRevision).orDefault(false);
		return isKnown ? duties.view.planSeenAt ?? -Infinity : clock.suspendAwareNow();
	}
}

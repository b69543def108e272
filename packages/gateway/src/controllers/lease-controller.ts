import * as buffer from 'node:buffer';
import * as core from '@bluebellmast/core';
import type * as clients from '@bluebellmast/kv';
import type * as clocks from '../util/clocks.js';
import * as eventLog from '../util/event-log.js';
import type * as coordinationController from './coordination-controller.js';
import * as coordinationKeys from './coordination-keys.js';
import * as leaderCodec from './leader-codec.js';
import * as planCodec from './plan-codec.js';
import * as renewedLease from './renewed-lease.js';

/** Options of a VM's leases. */
export type VmLeaseOptions = {
	/** Lease of the VM's key in the list of VMs. */
	readonly member: renewedLease.RenewedLeaseOptions;
	/** Lease of the leader's key. */
	readonly leader: renewedLease.RenewedLeaseOptions;
	/** Durations that limit when the leader may send orders. */
	readonly leadership: core.orders.LeaseOptions;
};

/**
 * Lease of a VM's key. Long, since each VM renews one and a failed VM counts for a while in any case; it outlasts most outages of
 * the store.
 */
const memberLease: renewedLease.RenewedLeaseOptions = {ttlMs: 8000, renewIntervalMs: 2500, retryIntervalMs: 500};

/**
 * Lease of the leader's key. Short, since no VM sends orders until the lease of a failed leader ends. The store responds within
 * 240 ms on a slow day.
 */
const leaderLease: renewedLease.RenewedLeaseOptions = {ttlMs: 2000, renewIntervalMs: 500, retryIntervalMs: 150};

/**
 * Returns the options of a VM's leases.
 *
 * @param leaderOrderGapMs - Shortest time between orders of two leaders, in milliseconds.
 */
export function createVmLeaseOptions(leaderOrderGapMs: number): VmLeaseOptions {
	return {
		member: memberLease,
		leader: leaderLease,
		leadership: {ttlMs: leaderLease.ttlMs, marginMs: 600, maxOrderDurationMs: orderWindowMs + leaderOrderGapMs + timerSlackMs},
	};
}

/** Dependencies of the controller. */
export type LeaseControllerDependencies = {
	readonly vm: string;
	/** Returns the `IP:PORT` at which this VM receives load digests. */
	readonly getOwnAddress: () => string;
	readonly store: clients.kv.KeyValueClient;
	readonly coordination: coordinationController.CoordinationController;
	readonly clock: clocks.Clocks;
	readonly log: eventLog.EventLog;
	readonly random: () => number;
};

/**
 * Time after the publication of a plan within which its orders are sent, in milliseconds. A VM that has read the plan can
 * therefore tell when the last order can have been sent.
 */
export const orderWindowMs = 600;
/** Added to the time between orders of two leaders to allow for timers that fire late, in milliseconds. */
const timerSlackMs = 150;

/** Longest random delay before an attempt to become the leader, in milliseconds, so that not all VMs attempt it at once. */
const maxRandomDelayMs = 150;
/**
 * Longest additional delay for the age of the process, in milliseconds. During a rolling restart the youngest process is the
 * last one to be stopped next, so it is preferred as the leader.
 */
const maxAgeDelayMs = 300;
/** Age of the process at which half of that delay applies, in milliseconds; a rolling restart takes about as long per VM. */
const halfDelayAgeMs = 10_000;

/** Keeps this VM's key in the list of VMs, and acquires and keeps the leader's key when there is no leader. */
export class LeaseController {
	readonly #leadership: core.orders.LeaderLease;
	readonly #member: renewedLease.RenewedLease;
	/** Exists from an attempt to lead until another VM leads or the leadership is lost. */
	readonly #leader: renewedLease.RenewedLease;
	#isRegistered = false;
	#leaderRevision = 0;
	#acquireAt: number | undefined;
	/** Earliest time of the next attempt to register this VM. */
	#registerAt = -Infinity;
	/** When the newest era of the store was first seen; `-Infinity` while none was. */
	#eraSeenAt = -Infinity;
	/** Whether the store has returned from a copy, so that the leader's key can hold an earlier leadership of this VM. */
	#hasReturned = false;
	#isStopping = false;
	readonly #startedAt: number;

	constructor(private readonly dependencies: LeaseControllerDependencies, private readonly options: VmLeaseOptions) {
		const {store, clock} = dependencies;
		this.#leadership = new core.orders.LeaderLease(options.leadership);
		this.#member = new renewedLease.RenewedLease(store, clock, options.member);
		this.#leader = new renewedLease.RenewedLease(store, clock, options.leader);
		this.#startedAt = clock.suspendAwareNow();
	}

	/** Returns the fencing token for an order that is sent now, or `undefined` when this VM may send none. */
	fencing(): number | undefined {
		return this.#isStopping ? undefined : this.#leadership.fencing(this.dependencies.clock.suspendAwareNow());
	}

	/** Whether this VM may send orders. */
	get isLeading(): boolean {
		return this.fencing() !== undefined;
	}

	/** Gives up the leadership after an engine reported a higher fencing token, which means that another VM leads. */
	handleFenced(): void {
		this.#loseLeadership('fenced');
	}

	/**
	 * Handles a newer era of the store. After a return from a copy this VM's leases may be gone or belong to other VMs, so it gives
	 * up the leadership and registers anew.
	 *
	 * @param previous - The era before; `undefined` if this is the first one.
	 */
	handleEra(previous: number | undefined): void {
		const now = this.dependencies.clock.suspendAwareNow();
		this.#eraSeenAt = now;
		if (previous === undefined) {
			return;
		}

		this.#hasReturned = true;
		this.#loseLeadership('store_returned');
		this.#loseMembership(now);
	}

	/** Acquires or renews the leases when due, registers this VM, and tries to become the leader if there is none. */
	async tick(): Promise<void> {
		if (this.#isStopping) {
			return;
		}

		await Promise.all([this.#renewLeadership(), this.#keepMembership()]);
		if (this.#member.lease !== undefined && this.dependencies.coordination.hasSnapshot) {
			await this.#acquireLeadership();
		}
	}

	/** Revokes the leases, so that another VM can become the leader at once. */
	async stop(): Promise<void> {
		this.#isStopping = true;
		const wasLeading = this.#leaderRevision !== 0;
		const [problem] = await Promise.all([this.#leader.revoke(), this.#member.revoke()]);
		if (wasLeading) {
			this.dependencies.log.write(eventLog.LogEvent.LeaderLost, {reason: 'stop', problem});
		}
	}

	/** Renews the lease of this VM's key, or requests one, and registers this VM. */
	async #keepMembership(): Promise<void> {
		const {clock} = this.dependencies;
		if (await this.#member.renewIfDue() === renewedLease.LeaseRenewal.Lost) {
			this.#loseMembership(clock.suspendAwareNow());
		}

		if (this.#isRegistered || clock.suspendAwareNow() < this.#registerAt) {
			return;
		}

		if (this.#member.lease === undefined) {
			await this.#member.grant();
		}

		if (this.#member.lease !== undefined) {
			await this.#register(this.#member.lease);
		}

		if (!this.#isRegistered) {
			this.#delayRegistration(clock.suspendAwareNow());
		}
	}

	/** Forgets the lease of this VM's key; it registers anew after a random delay, since other VMs may have lost theirs as well. */
	#loseMembership(now: number): void {
		this.#member.drop();
		this.#isRegistered = false;
		this.#delayRegistration(now);
	}

	#delayRegistration(now: number): void {
		const {coordination, random} = this.dependencies;
		this.#registerAt = now + core.store.computeRegistrationDelayMs(coordination.vmCount, random());
	}

	async #renewLeadership(): Promise<void> {
		const renewal = await this.#leader.renewIfDue();
		if (renewal === renewedLease.LeaseRenewal.Renewed) {
			this.#recordRenewal(this.#leader.renewedAt, this.dependencies.clock.suspendAwareNow());
		} else if (renewal === renewedLease.LeaseRenewal.Lost) {
			this.#loseLeadership('lease_lost');
		}
	}

	/**
	 * Extends the leadership by a renewal of the lease. If this VM's clock was set forward, the lease can appear to have ended
	 * although the store still has it; the leader's key then still exists and is acquired again.
	 */
	#recordRenewal(sentAt: number, now: number): void {
		if (this.#leaderRevision === 0) {
			return;
		}

		this.#leadership.recordRenewal(sentAt, now);
		if (!this.#leadership.isHeld(now)) {
			this.#leaderRevision = 0;
			this.dependencies.log.write(eventLog.LogEvent.LeaderLost, {reason: 'clock'});
		}
	}

	#loseLeadership(reason: string): void {
		if (this.#leaderRevision !== 0) {
			this.dependencies.log.write(eventLog.LogEvent.LeaderLost, {reason});
		}

		this.#leadership.recordEnd();
		this.#leaderRevision = 0;
		this.#leader.drop();
	}

	async #register(lease: clients.kv.KvLease): Promise<void> {
		const key = `${coordinationKeys.vmKeyPrefix}${this.dependencies.vm}`;
		const read = await this.dependencies.store.get(key);
		if (read.isLeft()) {
			return;
		}

		const revision = (read.extract() as clients.kv.KvEntry | undefined)?.revision ?? 0;
		const value = buffer.Buffer.from(this.dependencies.getOwnAddress());
		const swap = await this.dependencies.store.compareAndSwap(key, revision, value, lease.id, lease.era);
		swap.ifRight(result => {
			this.#isRegistered = result.swapped && this.#member.lease?.id === lease.id;
		});
	}

	async #acquireLeadership(): Promise<void> {
		const {coordination, clock} = this.dependencies;
		const {leader} = coordination.state;
		if (this.#leaderRevision !== 0 || leader !== undefined) {
			this.#acquireAt = undefined;
			await this.#recoverLeadership(leader);
			await this.#removeOutdatedKey();
			return;
		}

		const now = clock.suspendAwareNow();
		this.#acquireAt ??= now + this.#acquireDelayMs(now);
		if (now < this.#acquireAt) {
			return;
		}

		this.#acquireAt = undefined;
		await this.#acquireLeaderKey(0);
	}

	/**
	 * Requests a lease if there is none, and writes the leader's key.
	 *
	 * @param expectedRevision - Revision of the key that is replaced; 0 if there is none.
	 * @param era - Era of that revision.
	 */
	async #acquireLeaderKey(expectedRevision: number, era?: number): Promise<void> {
		if (this.#leader.lease === undefined) {
			await this.#leader.grant();
		}

		const {lease} = this.#leader;
		const isSameEra = expectedRevision === 0 || lease?.era === era;
		if (lease !== undefined && isSameEra && !this.#isStopping) {
			await this.#writeLeaderKey(lease, expectedRevision);
		}
	}

	async #writeLeaderKey(lease: clients.kv.KvLease, expectedRevision: number): Promise<void> {
		const {store, clock, vm} = this.dependencies;
		this.#leadership.beginAcquiring(clock.suspendAwareNow());
		const swap = await store.compareAndSwap(coordinationKeys.leaderKey, expectedRevision, leaderCodec.encodeLeader({vm, leaseId: lease.id}), lease.id, lease.era);
		const result = swap.toMaybe().extract();
		if (result?.swapped) {
			await this.#beginLeading(result);
			return;
		}

		this.#leadership.recordRefusal();
		// Without a response the key may have been written, so the lease is kept.
		if (result !== undefined) {
			this.#leader.drop();
		}
	}

	#acquireDelayMs(now: number): number {
		const ageMs = now - this.#startedAt;
		return (this.dependencies.random() * maxRandomDelayMs) + (maxAgeDelayMs * ageMs / (ageMs + halfDelayAgeMs));
	}

	/**
	 * Begins to lead if this VM wrote the leader's key with its current lease but the response was lost, or with the lease of an
	 * earlier process, which can't be alive; drops the lease if another VM leads.
	 */
	async #recoverLeadership(leader: coordinationController.ObservedLeader | undefined): Promise<void> {
		if (this.#leaderRevision !== 0 || leader === undefined) {
			return;
		}

		if (leader.vm !== this.dependencies.vm) {
			this.#leader.drop();
		} else if (leader.leaseId === this.#leader.lease?.id) {
			this.#leadership.beginAcquiring(this.dependencies.clock.suspendAwareNow());
			await this.#beginLeading(leader);
		} else if (!this.#hasReturned) {
			await this.#acquireLeaderKey(leader.revision, leader.era);
		}
	}

	/**
	 * Deletes a leader's key that names this VM although it does not lead, after the store returned from a copy with it: the lease of
	 * such a key may have been granted again to another VM, which renews it.
	 */
	async #removeOutdatedKey(): Promise<void> {
		const {store, coordination, vm} = this.dependencies;
		const {leader} = coordination.state;
		if (this.#hasReturned && this.#leaderRevision === 0 && leader?.vm === vm && leader.leaseId !== this.#leader.lease?.id) {
			await store.compareAndDelete(coordinationKeys.leaderKey, leader.revision, leader.era);
		}
	}

	async #beginLeading({revision, era}: {readonly revision: number; readonly era?: number}): Promise<void> {
		const {clock, log} = this.dependencies;
		const eraSeenAt = this.#eraSeenAt;
		this.#leaderRevision = revision;
		const now = clock.suspendAwareNow();
		const latestOrderAt = await this.#latestOrderAt();
		if (this.#leaderRevision !== revision || this.#eraSeenAt !== eraSeenAt) {
			// The leadership was lost meanwhile.
			return;
		}

		const fence = core.store.createFencingToken(revision, era);
		const previousOrdersEndAt = latestOrderAt + this.options.leadership.maxOrderDurationMs;
		this.#leadership.recordGrant(fence, this.#leader.renewedAt, clock.suspendAwareNow(), previousOrdersEndAt);
		log.write(eventLog.LogEvent.LeaderGained, {fence, clearInMs: Math.round(Math.max(0, previousOrdersEndAt - now))});
	}

	/**
	 * Returns the latest time at which another VM can have published the last plan; `-Infinity` if there is none, or if an earlier
	 * process of this VM published it in this era. A plan that was lost when the store returned from a copy was published before the
	 * newest era was seen.
	 */
	async #latestOrderAt(): Promise<number> {
		const {store, coordination, clock, vm} = this.dependencies;
		const read = await store.get(coordinationKeys.rolloutPlanKey);
		if (read.map(entry => isWrittenBy(vm, entry)).orDefault(false)) {
			return -Infinity;
		}

		const isKnown = read.map(entry => (entry?.revision ?? 0) <= coordination.state.planRevision).orDefault(false);
		return isKnown ? Math.max(coordination.state.planSeenAt ?? -Infinity, this.#eraSeenAt) : clock.suspendAwareNow();
	}
}

/** Returns whether an entry holds a plan that a process of the VM wrote in the era in which the entry was read. */
function isWrittenBy(vm: string, entry: clients.kv.KvEntry | undefined): boolean {
	if (entry === undefined) {
		return false;
	}

	const {writer, fence} = planCodec.decodePlan(entry.value);
	return writer === vm && core.store.eraOfFencingToken(fence) === (entry.era ?? 0);
}

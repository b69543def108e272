import * as buffer from 'node:buffer';
import * as core from '@bluebellmast/core';
import * as clients from '@bluebellmast/kv';
import type * as clocks from '../util/clocks.js';
import * as eventLog from '../util/event-log.js';
import type * as coordinationController from './coordination-controller.js';
import * as coordinationKeys from './coordination-keys.js';
import * as leaderCodec from './leader-codec.js';

/** Options of a VM's lease, in milliseconds. */
export type VmLeaseOptions = {
	readonly ttlMs: number;
	/** Interval between renewals; the lease survives two lost ones. */
	readonly renewIntervalMs: number;
	readonly leader: core.orders.LeaseOptions;
};

/**
 * Returns the options of a VM's lease.
 *
 * @param leaderOrderGapMs - Shortest time between orders of two leaders, in milliseconds.
 */
export function createVmLeaseOptions(leaderOrderGapMs: number): VmLeaseOptions {
	// Short, since no VM sends orders until the lease of a failed leader ends. The store responds within 240 ms on a slow day.
	const ttlMs = 2000;
	return {
		ttlMs,
		renewIntervalMs: 500,
		leader: {ttlMs, marginMs: 600, maxOrderDurationMs: orderWindowMs + leaderOrderGapMs + timerSlackMs},
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

/** Keeps this VM's lease and its key in the list of VMs, and acquires the leader's key when there is no leader. */
export class LeaseController {
	readonly #leader: core.orders.LeaderLease;
	#lease: clients.kv.KvLease | undefined;
	#renewedAt = -Infinity;
	#isRegistered = false;
	#leaderRevision = 0;
	#acquireAt: number | undefined;
	#isStopping = false;
	readonly #startedAt: number;

	constructor(private readonly dependencies: LeaseControllerDependencies, private readonly options: VmLeaseOptions) {
		this.#leader = new core.orders.LeaderLease(options.leader);
		this.#startedAt = dependencies.clock.suspendAwareNow();
	}

	/** Returns the fencing token for an order that is sent now, or `undefined` when this VM may send none. */
	fencing(): number | undefined {
		return this.#isStopping ? undefined : this.#leader.fencing(this.dependencies.clock.suspendAwareNow());
	}

	/** Whether this VM may send orders. */
	get isLeading(): boolean {
		return this.fencing() !== undefined;
	}

	/** Gives up the lease after an engine reported a higher fencing token, which means that another VM leads. */
	handleFenced(): void {
		this.#loseLease('fenced');
	}

	/** Acquires or renews the lease when due, registers this VM, and tries to become the leader if there is none. */
	async tick(): Promise<void> {
		if (this.#isStopping) {
			return;
		}

		const now = this.dependencies.clock.suspendAwareNow();
		if (this.#lease === undefined) {
			await this.#grant();
		} else if (now - this.#renewedAt >= this.options.renewIntervalMs) {
			await this.#renew(this.#lease);
		}

		if (this.#lease !== undefined && !this.#isRegistered) {
			await this.#register(this.#lease);
		}

		if (this.#lease !== undefined && this.dependencies.coordination.hasSnapshot) {
			await this.#acquireLeadership(this.#lease);
		}
	}

	/** Revokes the lease, so that another VM can become the leader at once. */
	async stop(): Promise<void> {
		this.#isStopping = true;
		const lease = this.#lease;
		this.#lease = undefined;
		if (lease !== undefined) {
			const revoked = await this.dependencies.store.revokeLease(lease);
			revoked.ifLeft(failure => {
				this.dependencies.log.write(eventLog.LogEvent.LeaderLost, {reason: 'stop', problem: failure.message});
			});
		}
	}

	async #grant(): Promise<void> {
		const sentAt = this.dependencies.clock.suspendAwareNow();
		const granted = await this.dependencies.store.grantLease(this.options.ttlMs);
		granted.ifRight(lease => {
			this.#lease = lease;
			this.#renewedAt = sentAt;
			this.#isRegistered = false;
		});
	}

	async #renew(lease: clients.kv.KvLease): Promise<void> {
		const sentAt = this.dependencies.clock.suspendAwareNow();
		const renewed = await this.dependencies.store.keepLeaseAlive(lease);
		const now = this.dependencies.clock.suspendAwareNow();
		renewed.ifRight(() => {
			this.#renewedAt = sentAt;
			this.#recordRenewal(sentAt, now);
		});
		renewed.ifLeft(failure => {
			if (failure.code === clients.kv.KvErrorCode.LeaseLost || now - this.#renewedAt > this.options.ttlMs) {
				this.#loseLease(failure.code);
			}
		});
	}

	/**
	 * Extends the leadership by a renewal of the lease. If this VM's clock was set forward, the lease can appear to have ended
	 * although the store still has it; the leader's key then still exists and is acquired again.
	 */
	#recordRenewal(sentAt: number, now: number): void {
		if (this.#leaderRevision === 0) {
			return;
		}

		this.#leader.recordRenewal(sentAt, now);
		if (!this.#leader.isHeld(now)) {
			this.#leaderRevision = 0;
			this.dependencies.log.write(eventLog.LogEvent.LeaderLost, {reason: 'clock'});
		}
	}

	#loseLease(reason: string): void {
		if (this.#leaderRevision !== 0) {
			this.dependencies.log.write(eventLog.LogEvent.LeaderLost, {reason});
		}

		this.#leader.recordEnd();
		this.#leaderRevision = 0;
		this.#lease = undefined;
		this.#isRegistered = false;
	}

	async #register(lease: clients.kv.KvLease): Promise<void> {
		const key = `${coordinationKeys.vmKeyPrefix}${this.dependencies.vm}`;
		const read = await this.dependencies.store.get(key);
		if (read.isLeft()) {
			return;
		}

		const revision = (read.extract() as clients.kv.KvEntry | undefined)?.revision ?? 0;
		const swap = await this.dependencies.store.compareAndSwap(key, revision, buffer.Buffer.from(this.dependencies.getOwnAddress()), lease.id);
		swap.ifRight(result => {
			this.#isRegistered = result.swapped;
		});
	}

	async #acquireLeadership(lease: clients.kv.KvLease): Promise<void> {
		const {coordination, clock} = this.dependencies;
		const {leader} = coordination.state;
		if (this.#leaderRevision !== 0 || leader !== undefined) {
			this.#acquireAt = undefined;
			await this.#recoverLeadership(leader, lease);
			return;
		}

		const now = clock.suspendAwareNow();
		this.#acquireAt ??= now + this.#acquireDelayMs(now);
		if (now < this.#acquireAt) {
			return;
		}

		this.#acquireAt = undefined;
		this.#leader.beginAcquiring(now);
		const value = leaderCodec.encodeLeader({vm: this.dependencies.vm, leaseId: lease.id});
		const swap = await this.dependencies.store.compareAndSwap(coordinationKeys.leaderKey, 0, value, lease.id);
		const result = swap.toMaybe().extract();
		if (result?.swapped) {
			await this.#beginLeading(result.revision);
		} else {
			this.#leader.recordRefusal();
		}
	}

	#acquireDelayMs(now: number): number {
		const ageMs = now - this.#startedAt;
		return (this.dependencies.random() * maxRandomDelayMs) + (maxAgeDelayMs * ageMs / (ageMs + halfDelayAgeMs));
	}

	/** Begins to lead if this VM wrote the leader's key with its current lease but the response was lost. */
	async #recoverLeadership(leader: coordinationController.ObservedLeader | undefined, lease: clients.kv.KvLease): Promise<void> {
		if (this.#leaderRevision === 0 && leader?.vm === this.dependencies.vm && leader.leaseId === lease.id) {
			this.#leader.beginAcquiring(this.dependencies.clock.suspendAwareNow());
			await this.#beginLeading(leader.revision);
		}
	}

	async #beginLeading(revision: number): Promise<void> {
		const {clock, log} = this.dependencies;
		this.#leaderRevision = revision;
		const now = clock.suspendAwareNow();
		const latestOrderAt = await this.#latestOrderAt();
		const previousOrdersEndAt = latestOrderAt + this.options.leader.maxOrderDurationMs;
		this.#leader.recordGrant(revision, this.#renewedAt, clock.suspendAwareNow(), previousOrdersEndAt);
		log.write(eventLog.LogEvent.LeaderGained, {fence: revision, clearInMs: Math.round(Math.max(0, previousOrdersEndAt - now))});
	}

	/** Returns the latest time at which the last plan can have been published; `-Infinity` if there is none. */
	async #latestOrderAt(): Promise<number> {
		const {store, coordination, clock} = this.dependencies;
		const read = await store.get(coordinationKeys.rolloutPlanKey);
		const isKnown = read.map(entry => (entry?.revision ?? 0) <= coordination.state.planRevision).orDefault(false);
		return isKnown ? coordination.state.planSeenAt ?? -Infinity : clock.suspendAwareNow();
	}
}

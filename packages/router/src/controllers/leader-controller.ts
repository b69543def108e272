import * as core from '@bluebellmast/core';
import * as clients from '@bluebellmast/kv';
import createDebug from 'debug';
import type * as clock from '../util/clock.js';
import type * as metrics from '../util/metrics.js';
import type * as controller from './controller.js';

const debug = createDebug('bluebellmast:leader');
const leasePhase = core.orders.LeasePhase;

/** Key in the key-value service that the leader holds with a lease. */
export const leaderLeaseKey = 'leader/orders';

/** Options of the leader election. */
export type LeaderOptions = {
	readonly vm: core.model.VmId;
	readonly incarnation: core.model.Incarnation;
	readonly kv: clients.kv.KeyValueClient;
	readonly clock: clock.Clock;
	/** Live members. All routers select the same few of them as candidates for the lease. */
	readonly liveMembers: () => readonly core.model.VmId[];
	readonly metrics?: metrics.Metrics;
	/** Durations of the lease. Default: it lasts 8 s, no orders are sent in its last 3 s, and an order takes at most 2 s. */
	readonly leaseOptions?: core.orders.LeaseOptions;
	/** Number of routers that try to acquire the lease. Default 3. */
	readonly maxCandidates?: number;
	/** Milliseconds between acquisition attempts, and between renewals. Default 2000. */
	readonly intervalMs?: number;
};

const defaults = {
	leaseOptions: {ttlMs: 8000, marginMs: 3000, maxOrderDurationMs: 2000},
	maxCandidates: 3,
	intervalMs: 2000,
};

/** Acquires and renews the leader's lease. Only the leader sends orders to engines. */
export class LeaderController implements controller.Controller {
	private readonly options: LeaderOptions & typeof defaults;
	private readonly lease: core.orders.LeaderLease;
	private readonly leaseValue: Uint8Array;
	private kvLease: clients.kv.KvLease | undefined;
	private timer: NodeJS.Timeout | undefined;
	private pendingCall: Promise<void> | undefined;
	private isStopped = false;

	constructor(options: LeaderOptions) {
		this.options = {...defaults, ...options};
		this.lease = new core.orders.LeaderLease(this.options.leaseOptions);
		this.leaseValue = new TextEncoder().encode(`${options.vm}/${options.incarnation}`);
	}

	async start(): Promise<void> {
		this.timer = setInterval(() => {
			this.tick();
		}, this.options.intervalMs);
		this.tick();
	}

	/** Releases the lease, so that another router can acquire it immediately. */
	async stop(): Promise<void> {
		this.isStopped = true;
		clearInterval(this.timer);
		await this.pendingCall;
		await this.releaseLease();
		this.lease.recordEnd();
	}

	/** Returns the fencing token for an order that is sent now, or `undefined` if none may be sent. */
	fencing(): number | undefined {
		return this.lease.fencing(this.options.clock.now());
	}

	/** Returns the current phase of the lease. */
	phase(): core.orders.LeasePhase {
		return this.lease.phase(this.options.clock.now());
	}

	/** Starts an acquisition attempt or a renewal, unless one is in progress. */
	tick(): void {
		if (this.pendingCall !== undefined || this.isStopped) {
			return;
		}

		this.pendingCall = this.runOnce();
	}

	/** Resolves when no acquisition or renewal is in progress. */
	async whenIdle(): Promise<void> {
		await this.pendingCall;
	}

	private async runOnce(): Promise<void> {
		try {
			await this.acquireOrRenew();
		} finally {
			this.pendingCall = undefined;
			this.options.metrics?.gauge('leader.leading', this.fencing() === undefined ? 0 : 1);
		}
	}

	private async acquireOrRenew(): Promise<void> {
		if (this.phase() !== leasePhase.Follower) {
			await this.renew();
			return;
		}

		await this.releaseLease();
		const ranked = core.util.rankByRendezvous('leader', this.options.liveMembers());
		if (ranked.slice(0, this.options.maxCandidates).includes(this.options.vm)) {
			await this.acquire();
		}
	}

	private async acquire(): Promise<void> {
		const current = await this.options.kv.get(leaderLeaseKey);
		if (current.isLeft() || current.unsafeCoerce() !== undefined) {
			return;
		}

		const sentAt = this.options.clock.now();
		const granted = await this.options.kv.grantLease(this.options.leaseOptions.ttlMs);
		if (granted.isLeft()) {
			return;
		}

		this.kvLease = granted.unsafeCoerce();
		this.lease.beginAcquiring(sentAt);
		const fencing = await this.writeLeaseKey(this.kvLease.id);
		if (fencing === undefined) {
			this.lease.recordRefusal();
			await this.releaseLease();
			return;
		}

		debug('acquired the leader lease with fencing token %d', fencing);
		this.options.metrics?.increment('leader.gained');
		this.lease.recordGrant(fencing, sentAt, this.options.clock.now());
	}

	/**
	 * Writes the lease key if it is absent and returns its revision. If the response to the write was lost, reads the key back to
	 * find out whether the write took effect.
	 */
	private async writeLeaseKey(leaseId: string): Promise<number | undefined> {
		const swapped = await this.options.kv.compareAndSwap(leaderLeaseKey, 0, this.leaseValue, leaseId);
		if (swapped.isRight()) {
			const swap = swapped.unsafeCoerce();
			return swap.swapped ? swap.revision : undefined;
		}

		const failure = swapped.swap().unsafeCoerce();
		if (failure.code !== clients.kv.KvErrorCode.OutcomeUnknown) {
			return undefined;
		}

		const read = await this.options.kv.get(leaderLeaseKey);
		const entry = read.isRight() ? read.unsafeCoerce() : undefined;
		return entry !== undefined && this.isOwnValue(entry.value) ? entry.revision : undefined;
	}

	private isOwnValue(value: Uint8Array): boolean {
		return new TextDecoder().decode(value) === new TextDecoder().decode(this.leaseValue);
	}

	private async renew(): Promise<void> {
		const sentAt = this.options.clock.now();
		const renewed = await this.options.kv.keepLeaseAlive(this.kvLease!);
		if (renewed.isRight()) {
			this.lease.recordRenewal(sentAt, this.options.clock.now());
			return;
		}

		if (renewed.swap().unsafeCoerce().code === clients.kv.KvErrorCode.LeaseLost) {
			debug('lost the leader lease');
			this.options.metrics?.increment('leader.lost');
			this.lease.recordEnd();
			this.kvLease = undefined;
		}
	}

	private async releaseLease(): Promise<void> {
		const held = this.kvLease;
		this.kvLease = undefined;
		if (held !== undefined) {
			await this.options.kv.revokeLease(held);
		}
	}
}

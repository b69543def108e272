import * as core from '@bluebellmast/core';
import * as clients from '@bluebellmast/kv';
import createDebug from 'debug';
import type * as clock from '../util/clock.js';
import type * as metrics from '../util/metrics.js';
import type * as controller from './controller.js';

const debug = createDebug('bluebellmast:leader');
const leasePhase = core.orders.LeasePhase;

/** Key of the leader's lease in the key-value service. */
export const leaderLeaseKey = 'leader/orders';

/** Options of the leader's lease. */
export type LeaderOptions = {
	readonly vm: core.model.VmId;
	readonly incarnation: core.model.Incarnation;
	readonly kv: clients.kv.KeyValueClient;
	readonly clock: clock.Clock;
	/** Members that are alive; a few of them, chosen alike by all, try to take the lease. */
	readonly liveMembers: () => readonly core.model.VmId[];
	readonly metrics?: metrics.Metrics;
	/** Default: 8 s, orders stop 3 s before its end, an order takes at most 2 s. */
	readonly leaseOptions?: core.orders.LeaseOptions;
	/** Routers that try to take the lease. Default 3. */
	readonly maxCandidates?: number;
	/** Milliseconds between tries, and between renewals. Default 2000. */
	readonly intervalMs?: number;
};

const defaults = {
	leaseOptions: {ttlMs: 8000, marginMs: 3000, maxOrderDurationMs: 2000},
	maxCandidates: 3,
	intervalMs: 2000,
};

/** Takes and keeps the lease of the leader, who alone gives orders to engines. */
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

	/** Gives the lease back, so that another router can take it at once. */
	async stop(): Promise<void> {
		this.isStopped = true;
		clearInterval(this.timer);
		await this.pendingCall;
		await this.releaseLease();
		this.lease.recordEnd();
	}

	/** Returns the fencing number for an order that is sent now, or `undefined` when none may be sent. */
	fencing(): number | undefined {
		return this.lease.fencing(this.options.clock.now());
	}

	/** Phase with regard to the lease. */
	phase(): core.orders.LeasePhase {
		return this.lease.phase(this.options.clock.now());
	}

	/** Begins a try or a renewal unless one is under way. */
	tick(): void {
		if (this.pendingCall !== undefined || this.isStopped) {
			return;
		}

		this.pendingCall = this.runOnce();
	}

	/** Resolves when no call is under way. */
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

		debug('took the lease with fencing number %d', fencing);
		this.options.metrics?.increment('leader.gained');
		this.lease.recordGrant(fencing, sentAt, this.options.clock.now());
	}

	/** Writes the key when it is absent. Returns its revision, also when the answer was lost and the key is read back. */
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
			debug('lost the lease');
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

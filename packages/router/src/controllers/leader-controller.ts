import * as core from '@bluebellmast/core';
import * as clients from '@bluebellmast/kv';
import createDebug from 'debug';
import type * as clock from '../util/clock.js';
import type * as metrics from '../util/metrics.js';
import type * as controller from './controller.js';

const debug = createDebug('bluebellmast:leader');
const leasePhase = core.orders.LeasePhase;

/** Key of the leader's lease in the key-value service. */
export const leaderKey = 'leader/orders';

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
	readonly times?: core.orders.LeaseOptions;
	/** Routers that try to take the lease. Default 3. */
	readonly candidates?: number;
	/** Milliseconds between tries, and between renewals. Default 2000. */
	readonly retryMs?: number;
};

const defaults = {
	times: {ttlMs: 8000, marginMs: 3000, maxOrderDurationMs: 2000},
	candidates: 3,
	retryMs: 2000,
};

/** Takes and keeps the lease of the leader, who alone gives orders to engines. */
export class LeaderController implements controller.Controller {
	private readonly cfg: LeaderOptions & typeof defaults;
	private readonly lease: core.orders.LeaderLease;
	private readonly value: Uint8Array;
	private kvLease: clients.kv.KvLease | undefined;
	private timer: NodeJS.Timeout | undefined;
	private underWay: Promise<void> | undefined;
	private stopped = false;

	constructor(options: LeaderOptions) {
		this.cfg = {...defaults, ...options};
		this.lease = new core.orders.LeaderLease(this.cfg.times);
		this.value = new TextEncoder().encode(`${options.vm}/${options.incarnation}`);
	}

	async start(): Promise<void> {
		this.timer = setInterval(() => {
			this.tick();
		}, this.cfg.retryMs);
		this.tick();
	}

	/** Gives the lease back, so that another router can take it at once. */
	async stop(): Promise<void> {
		this.stopped = true;
		clearInterval(this.timer);
		await this.underWay;
		await this.giveBack();
		this.lease.recordEnd();
	}

	/** Returns the fencing number for an order that is sent now, or `undefined` when none may be sent. */
	fencing(): number | undefined {
		return this.lease.fencing(this.cfg.clock.now());
	}

	/** Phase with regard to the lease. */
	phase(): core.orders.LeasePhase {
		return this.lease.phase(this.cfg.clock.now());
	}

	/** Begins a try or a renewal unless one is under way. */
	tick(): void {
		if (this.underWay !== undefined || this.stopped) {
			return;
		}

		this.underWay = this.carryOut();
	}

	/** Resolves when no call is under way. */
	async settled(): Promise<void> {
		await this.underWay;
	}

	private async carryOut(): Promise<void> {
		try {
			await this.tryOrRenew();
		} finally {
			this.underWay = undefined;
			this.cfg.metrics?.gauge('leader.leading', this.fencing() === undefined ? 0 : 1);
		}
	}

	private async tryOrRenew(): Promise<void> {
		if (this.phase() !== leasePhase.Follower) {
			await this.renew();
			return;
		}

		await this.giveBack();
		const ranked = core.util.rankByRendezvous('leader', this.cfg.liveMembers());
		if (ranked.slice(0, this.cfg.candidates).includes(this.cfg.vm)) {
			await this.acquire();
		}
	}

	private async acquire(): Promise<void> {
		const present = await this.cfg.kv.get(leaderKey);
		if (present.isLeft() || present.unsafeCoerce() !== undefined) {
			return;
		}

		const sentAt = this.cfg.clock.now();
		const granted = await this.cfg.kv.grantLease(this.cfg.times.ttlMs);
		if (granted.isLeft()) {
			return;
		}

		this.kvLease = granted.unsafeCoerce();
		this.lease.beginAcquiring(sentAt);
		const fencing = await this.takeKey(this.kvLease.id);
		if (fencing === undefined) {
			this.lease.recordRefusal();
			await this.giveBack();
			return;
		}

		debug('took the lease with fencing number %d', fencing);
		this.cfg.metrics?.increment('leader.gained');
		this.lease.recordGrant(fencing, sentAt, this.cfg.clock.now());
	}

	/** Writes the key when it is absent. Returns its revision, also when the answer was lost and the key is read back. */
	private async takeKey(leaseId: string): Promise<number | undefined> {
		const swapped = await this.cfg.kv.compareAndSwap(leaderKey, 0, this.value, leaseId);
		if (swapped.isRight()) {
			const swap = swapped.unsafeCoerce();
			return swap.swapped ? swap.revision : undefined;
		}

		const failure = swapped.swap().unsafeCoerce();
		if (failure.code !== clients.kv.KvErrorCode.OutcomeUnknown) {
			return undefined;
		}

		const read = await this.cfg.kv.get(leaderKey);
		const entry = read.isRight() ? read.unsafeCoerce() : undefined;
		return entry !== undefined && this.isOwn(entry.value) ? entry.revision : undefined;
	}

	private isOwn(value: Uint8Array): boolean {
		return new TextDecoder().decode(value) === new TextDecoder().decode(this.value);
	}

	private async renew(): Promise<void> {
		const sentAt = this.cfg.clock.now();
		const renewed = await this.cfg.kv.keepLeaseAlive(this.kvLease!);
		if (renewed.isRight()) {
			this.lease.recordRenewal(sentAt, this.cfg.clock.now());
			return;
		}

		if (renewed.swap().unsafeCoerce().code === clients.kv.KvErrorCode.LeaseLost) {
			debug('lost the lease');
			this.cfg.metrics?.increment('leader.lost');
			this.lease.recordEnd();
			this.kvLease = undefined;
		}
	}

	private async giveBack(): Promise<void> {
		const held = this.kvLease;
		this.kvLease = undefined;
		if (held !== undefined) {
			await this.cfg.kv.revokeLease(held);
		}
	}
}

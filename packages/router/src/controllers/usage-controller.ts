import * as core from '@bluebellmast/core';
import * as wire from '@bluebellmast/wire';
import type * as peerNetwork from '../peers/peer-network.js';
import * as clock from '../util/clock.js';
import type * as metrics from '../util/metrics.js';
import type * as controller from './controller.js';
import * as oneShotTimer from './one-shot-timer.js';

/** Options of {@link createUsageController}. */
export type UsageControllerOptions = {
	readonly self: {readonly vm: core.model.VmId; readonly incarnation: core.model.Incarnation};
	readonly peers: peerNetwork.PeerNetwork;
	readonly metrics: metrics.Metrics;
	/** Client accounts of the active manifest. */
	readonly accounts: () => readonly core.model.ClientAccount[];
	/** Live routers, including this one. */
	readonly members: () => readonly core.model.VmId[];
	/** System clock by default. */
	readonly clock?: clock.Clock;
	/** System timer by default. */
	readonly timer?: oneShotTimer.OneShotTimer;
	/** Milliseconds between gossip rounds; 200 by default. */
	readonly gossipIntervalMs?: number;
	/** Maximum number of routers that usage records are sent to in one gossip round; 8 by default. */
	readonly maxPeers?: number;
};

type ResolvedOptions = Required<UsageControllerOptions>;

/** A usage record that is sent in the next gossip rounds. */
type PendingRecord = {
	readonly record: core.limits.UsageRecord;
	readonly sendsLeft: number;
};

/** Enforces the limits of client accounts, and gossips usage records with a bounded number of messages per round. */
export class UsageController implements controller.Controller {
	readonly #options: ResolvedOptions;
	#limiter = core.limits.createAccountLimiter();
	/** Latest record of each router, until it was sent often enough. */
	readonly #pendingRecords = new Map<core.model.VmId, PendingRecord>();
	#lastRecordedUsage = this.#limiter.own;
	#round = 0;
	#cancelGossip?: () => void;

	constructor(options: ResolvedOptions) {
		this.#options = options;
	}

	async start(): Promise<void> {
		this.#options.peers.on(wire.peer.PeerMessageType.Usage, (_from, message) => {
			this.#applyRecords((message as wire.peer.UsageNotice).records);
		});
		this.#scheduleGossip();
	}

	async stop(): Promise<void> {
		this.#cancelGossip?.();
		this.gossip();
	}

	/** Admits a request. Returns 0 if it is admitted, else the milliseconds until a retry can succeed, `Infinity` if it never can. */
	admit(account: core.model.ClientAccount, promptTokens: number): number {
		const {limiter, waitMs} = core.limits.admitRequest(this.#limiter, account, promptTokens, this.#options.clock.now());
		this.#limiter = limiter;
		return waitMs;
	}

	/** Adds usage that becomes known after admission, such as tokens; negative usage is a refund. */
	count(account: core.model.ClientAccount, requests: number, tokens: number): void {
		this.#limiter = core.limits.countUsage(this.#limiter, account, {requests, tokens}, this.#options.clock.now());
	}

	/** Sends this router's usage and new records of other routers to a bounded number of routers. */
	gossip(): void {
		this.#addOwnRecord();
		if (this.#pendingRecords.size === 0) {
			return;
		}

		const records = [...this.#pendingRecords.values()].map(({record}) => record);
		const message: wire.peer.UsageNotice = {type: wire.peer.PeerMessageType.Usage, records};
		for (const vm of this.#choosePeers()) {
			this.#options.peers.send(vm, message);
			this.#options.metrics.increment('limits.spread');
		}

		this.#updateSendsLeft();
	}

	#addOwnRecord(): void {
		const {self, members, accounts} = this.#options;
		this.#limiter = core.limits.retainListed(this.#limiter, {routers: members(), accounts: accounts()});
		if (this.#limiter.own === this.#lastRecordedUsage) {
			return;
		}

		this.#lastRecordedUsage = this.#limiter.own;
		const {limiter, record} = core.limits.nextUsageRecord(this.#limiter, self);
		this.#limiter = limiter;
		this.#pendingRecords.set(self.vm, {record, sendsLeft: this.#countSendsPerRecord()});
	}

	#updateSendsLeft(): void {
		for (const [vm, {record, sendsLeft}] of this.#pendingRecords) {
			if (sendsLeft > 1) {
				this.#pendingRecords.set(vm, {record, sendsLeft: sendsLeft - 1});
			} else {
				this.#pendingRecords.delete(vm);
			}
		}
	}

	/** Returns 1 if the sender reaches every router itself, otherwise enough gossip rounds for a record to reach all routers. */
	#countSendsPerRecord(): number {
		return this.#shouldForwardRecords() ? Math.ceil(Math.log2(this.#options.members().length)) + 2 : 1;
	}

	/** Selects the connected routers in turn, so that each one is sent records every few rounds. */
	#choosePeers(): core.model.VmId[] {
		const {self, peers, maxPeers} = this.#options;
		const linked = [...peers.connectedVms()].sort();
		const offset = core.util.hash32(self.vm);
		const start = linked.length === 0 ? 0 : (offset + (this.#round * maxPeers)) % linked.length;
		this.#round += 1;
		return [...linked.slice(start), ...linked.slice(0, start)].slice(0, maxPeers);
	}

	#applyRecords(records: readonly core.limits.UsageRecord[]): void {
		const {self, accounts, clock} = this.#options;
		for (const record of records) {
			const before = this.#limiter;
			if (record.vm !== self.vm) {
				this.#limiter = core.limits.applyUsageRecord(before, record, accounts(), clock.now());
			}

			if (this.#limiter !== before && this.#shouldForwardRecords()) {
				this.#pendingRecords.set(record.vm, {record, sendsLeft: this.#countSendsPerRecord()});
			}
		}
	}

	/** Returns whether records of other routers are forwarded: only if a sender does not reach every router itself. */
	#shouldForwardRecords(): boolean {
		const {peers, members, maxPeers} = this.#options;
		return members().length - 1 > Math.min(maxPeers, peers.connectedVms().length);
	}

	#scheduleGossip(): void {
		const {timer, gossipIntervalMs} = this.#options;
		this.#cancelGossip = timer.after(gossipIntervalMs, () => {
			this.gossip();
			this.#scheduleGossip();
		});
	}
}

/** Creates a usage controller; omitted options get their default values. */
export function createUsageController(options: UsageControllerOptions): UsageController {
	return new UsageController({
		clock: new clock.SystemClock(),
		timer: new oneShotTimer.SystemTimer(),
		gossipIntervalMs: 200,
		maxPeers: 8,
		...options,
	});
}

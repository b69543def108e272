import type * as ids from '../model/ids.js';
import * as invariant from '../util/invariant.js';
import * as memberRecord from './member-record.js';
import * as memberTable from './member-table.js';
import type * as types from './membership-types.js';

/** Periods for which tables may differ before whole parts are exchanged; fresh records mostly settle it sooner. */
const syncAfterPeriods = 6;

/** What is known of another router's table. */
type PeerTableView = {
	/** Digest in its last message. */
	readonly digest: number;
	/** Since when the tables differ; absent while they are equal. */
	readonly differsSince: number | undefined;
	/** Bit mask of the parts known to differ. */
	readonly differingBuckets: number;
};

type ComposerOptions = types.MembershipOptions & types.MembershipDefaults;

/** Chooses the records that each message carries, within the budget of a period. */
export class GossipComposer {
	private readonly peers = new Map<ids.VmId, PeerTableView>();
	private recordBudget: number;
	private periodStartedAt: number;

	constructor(private readonly table: memberTable.MemberTable, private readonly cfg: ComposerOptions) {
		this.recordBudget = cfg.maxRecordsPerPeriod;
		this.periodStartedAt = cfg.startedAt;
	}

	/** Begins a period with a new budget. */
	beginPeriod(now: number): void {
		this.periodStartedAt = now;
		this.recordBudget = this.cfg.maxRecordsPerPeriod;
	}

	/** Notes a new link: whole parts are exchanged with the router at once. */
	recordLinkUp(vm: ids.VmId): void {
		this.peers.set(vm, {digest: 0, differsSince: 0, differingBuckets: 0});
	}

	/** Notes what a message shows of the sender's table; called once its records are merged. */
	recordPayload(from: ids.VmId, payload: types.GossipPayload, now: number): void {
		if (payload.digest === this.table.digest) {
			this.peers.set(from, {digest: payload.digest, differsSince: undefined, differingBuckets: 0});
			return;
		}

		const mask = payload.buckets === undefined
			? 0
			: memberTable.differingBuckets(this.table.bucketDigests, payload.buckets);
		const differsSince = this.peers.get(from)?.differsSince ?? now;
		this.peers.set(from, {digest: payload.digest, differsSince, differingBuckets: mask});
	}

	forget(vm: ids.VmId): void {
		this.peers.delete(vm);
	}

	/** Returns whether a router's last message showed another table. */
	hasDifferentTable(vm: ids.VmId): boolean {
		return this.peers.get(vm)?.digest !== this.table.digest;
	}

	/** Returns whether it is known which parts of a router's table differ. */
	knowsDifferingBuckets(vm: ids.VmId): boolean {
		return (this.peers.get(vm)?.differingBuckets ?? 0) !== 0;
	}

	/** Returns what a message to a router carries. */
	compose(to: ids.VmId, sequence: number): types.GossipPayload {
		const records = new Map<ids.VmId, memberRecord.MemberRecord>();
		const add = (list: readonly memberRecord.MemberRecord[]): void => {
			for (const record of list) {
				records.set(record.vm, record);
			}
		};

		const receiver = this.table.get(to);
		if (receiver !== undefined && receiver.status !== memberRecord.MemberStatus.Alive) {
			add([receiver]);
		}

		if (this.hasDifferentTable(to)) {
			add(this.table.takePendingUpdates(this.takeFromBudget(this.cfg.maxUpdatesPerMessage)));
		}

		const peer = this.peers.get(to);
		const includesSync = this.shouldSync(peer);
		if (includesSync) {
			const own = this.table.get(this.cfg.vm)!;
			add([own, ...this.table.takeFromBuckets(peer!.differingBuckets, this.takeFromBudget(this.cfg.maxSyncRecordsPerMessage))]);
		}

		invariant.assertInvariant(
			records.size <= this.cfg.maxUpdatesPerMessage + this.cfg.maxSyncRecordsPerMessage + 2,
			'members.bounded-message',
			() => `${records.size} records`,
		);
		return {
			sequence,
			digest: this.table.digest,
			records: [...records.values()],
			...(includesSync && {buckets: this.table.bucketDigests}),
		};
	}

	/** Takes up to `wanted` records out of the budget of the period. */
	private takeFromBudget(wanted: number): number {
		const granted = Math.min(wanted, this.recordBudget);
		this.recordBudget -= granted;
		return granted;
	}

	private shouldSync(peer: PeerTableView | undefined): boolean {
		return peer?.differsSince !== undefined
			&& this.periodStartedAt - peer.differsSince >= syncAfterPeriods * this.cfg.periodMs;
	}
}

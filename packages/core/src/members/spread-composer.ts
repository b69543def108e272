import type * as ids from '../model/ids.js';
import * as invariant from '../util/invariant.js';
import * as memberRecord from './member-record.js';
import * as memberTable from './member-table.js';
import type * as types from './membership-types.js';

/** Periods for which tables may differ before whole parts are exchanged; fresh records mostly settle it sooner. */
const syncAfterPeriods = 6;

/** What is known of another router's table. */
type PeerView = {
	/** Digest in its last message. */
	readonly digest: number;
	/** Since when the tables differ; absent while they are equal. */
	readonly differsSince: number | undefined;
	/** Bit mask of the parts known to differ. */
	readonly mask: number;
};

type ComposerOptions = types.MembershipOptions & types.MembershipDefaults;

/** Chooses the records that each message carries, within the budget of a period. */
export class SpreadComposer {
	private readonly peers = new Map<ids.VmId, PeerView>();
	private recordBudget: number;
	private periodAt: number;

	constructor(private readonly table: memberTable.MemberTable, private readonly cfg: ComposerOptions) {
		this.recordBudget = cfg.recordsPerPeriod;
		this.periodAt = cfg.startedAt;
	}

	/** Begins a period with a new budget. */
	beginPeriod(now: number): void {
		this.periodAt = now;
		this.recordBudget = this.cfg.recordsPerPeriod;
	}

	/** Notes a new link: whole parts are exchanged with the router at once. */
	noteLinkUp(vm: ids.VmId): void {
		this.peers.set(vm, {digest: 0, differsSince: 0, mask: 0});
	}

	/** Notes what a message shows of the sender's table; called once its records are merged. */
	noteSpread(from: ids.VmId, spread: types.Spread, now: number): void {
		if (spread.digest === this.table.digest) {
			this.peers.set(from, {digest: spread.digest, differsSince: undefined, mask: 0});
			return;
		}

		const mask = spread.buckets === undefined
			? 0
			: memberTable.differingBuckets(this.table.bucketDigests, spread.buckets);
		const differsSince = this.peers.get(from)?.differsSince ?? now;
		this.peers.set(from, {digest: spread.digest, differsSince, mask});
	}

	forget(vm: ids.VmId): void {
		this.peers.delete(vm);
	}

	/** Returns whether a router's last message showed another table. */
	differs(vm: ids.VmId): boolean {
		return this.peers.get(vm)?.digest !== this.table.digest;
	}

	/** Returns whether it is known which parts of a router's table differ. */
	knowsDifference(vm: ids.VmId): boolean {
		return (this.peers.get(vm)?.mask ?? 0) !== 0;
	}

	/** Returns what a message to a router carries. */
	compose(to: ids.VmId, sequence: number): types.Spread {
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

		if (this.differs(to)) {
			add(this.table.takeFresh(this.withinBudget(this.cfg.freshRecords)));
		}

		const peer = this.peers.get(to);
		const syncs = this.shouldSync(peer);
		if (syncs) {
			const own = this.table.get(this.cfg.vm)!;
			add([own, ...this.table.takeFromBuckets(peer!.mask, this.withinBudget(this.cfg.syncRecords))]);
		}

		invariant.assertInvariant(
			records.size <= this.cfg.freshRecords + this.cfg.syncRecords + 2,
			'members.bounded-message',
			() => `${records.size} records`,
		);
		return {
			sequence,
			digest: this.table.digest,
			records: [...records.values()],
			...(syncs && {buckets: this.table.bucketDigests}),
		};
	}

	/** Takes up to `wanted` records out of the budget of the period. */
	private withinBudget(wanted: number): number {
		const granted = Math.min(wanted, this.recordBudget);
		this.recordBudget -= granted;
		return granted;
	}

	private shouldSync(peer: PeerView | undefined): boolean {
		return peer?.differsSince !== undefined
			&& this.periodAt - peer.differsSince >= syncAfterPeriods * this.cfg.periodMs;
	}
}

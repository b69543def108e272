import type * as ids from '../model/ids.js';
import * as invariant from '../util/invariant.js';
import * as memberRecord from './member-record.js';
import * as memberTable from './member-table.js';
import type * as types from './membership-types.js';

/** Periods for which tables may differ before buckets are synchronised; pending updates mostly resolve it sooner. */
const syncAfterPeriods = 6;

/** What the last message of another router showed of its member table. */
type PeerTableView = {
	/** Digest in its last message. */
	readonly digest: number;
	/** Time in milliseconds since which the tables differ; `undefined` while they are equal. */
	readonly differsSince: number | undefined;
	/** Bit mask of the buckets known to differ. */
	readonly differingBuckets: number;
};

type ComposerOptions = types.MembershipOptions & types.MembershipDefaults;

/** Chooses the records of each membership message, within a record budget per period. */
export class GossipComposer {
	private readonly peers = new Map<ids.VmId, PeerTableView>();
	private recordBudget: number;
	private periodStartedAt: number;

	constructor(private readonly table: memberTable.MemberTable, private readonly cfg: ComposerOptions) {
		this.recordBudget = cfg.maxRecordsPerPeriod;
		this.periodStartedAt = cfg.startedAt;
	}

	/** Begins a period with a full record budget. */
	beginPeriod(now: number): void {
		this.periodStartedAt = now;
		this.recordBudget = this.cfg.maxRecordsPerPeriod;
	}

	/** Records a new link; `differsSince` is set to 0 so that buckets are synchronised with that router at once. */
	recordLinkUp(vm: ids.VmId): void {
		this.peers.set(vm, {digest: 0, differsSince: 0, differingBuckets: 0});
	}

	/** Compares the digests of a message with the own table; called after the records of the message were merged. */
	recordPayload(from: ids.VmId, payload: types.GossipPayload, now: number): void {
		if (payload.digest === this.table.digest) {
			this.peers.set(from, {digest: payload.digest, differsSince: undefined, differingBuckets: 0});
			return;
		}

		const mask = payload.buckets === undefined
			? 0
			: memberTable.findDifferingBuckets(this.table.bucketDigests, payload.buckets);
		const differsSince = this.peers.get(from)?.differsSince ?? now;
		this.peers.set(from, {digest: payload.digest, differsSince, differingBuckets: mask});
	}

	forget(vm: ids.VmId): void {
		this.peers.delete(vm);
	}

	/** Returns whether a router's last message had another digest than the own table, or none has arrived. */
	hasDifferentTable(vm: ids.VmId): boolean {
		return this.peers.get(vm)?.digest !== this.table.digest;
	}

	/** Returns whether it is known which buckets of a router's table differ. */
	knowsDifferingBuckets(vm: ids.VmId): boolean {
		return (this.peers.get(vm)?.differingBuckets ?? 0) !== 0;
	}

	/** Returns the payload of a message to a router. */
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
			() => `the message has ${records.size} records`,
		);
		return {
			sequence,
			digest: this.table.digest,
			records: [...records.values()],
			...(includesSync && {buckets: this.table.bucketDigests}),
		};
	}

	/** Deducts up to `wanted` records from the budget of the period. Returns the number granted. */
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

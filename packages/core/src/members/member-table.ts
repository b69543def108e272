import type * as ids from '../model/ids.js';
import * as hash from '../util/hash.js';
import * as invariant from '../util/invariant.js';
import * as memberRecord from './member-record.js';

type Entry = {
	record: memberRecord.MemberRecord;
	hash: number;
	changedAt: number;
	/** Number of further messages that may carry the record as a pending update. */
	remainingSends: number;
};

function hashRecord(record: memberRecord.MemberRecord): number {
	if (!memberRecord.isPresent(record)) {
		return 0;
	}

	return hash.hash32(`${record.vm}|${record.incarnation}|${record.status}|${record.leaving ? 1 : 0}`, record.version % 0x1_00_00_00_00);
}

/** Buckets by which the digests of two differing tables are compared. */
export const bucketCount = 16;

type Bucket = {
	digest: number;
	readonly vms: ids.VmId[];
	cursor: number;
};

function bucketIndexOf(vm: ids.VmId): number {
	return hash.hash32(vm) % bucketCount;
}

/** Records of all known members, and the pending updates: records that are still to be sent to other routers. */
export class MemberTable {
	private readonly entries = new Map<ids.VmId, Entry>();
	/** Pending updates, by VM: those not sent yet, and those sent at least once. */
	private readonly unsent = new Set<ids.VmId>();
	private readonly sent = new Set<ids.VmId>();
	private readonly buckets: Bucket[] = Array.from({length: bucketCount}, () => ({digest: 0, vms: [], cursor: 0}));
	private digestValue = 0;

	/** Hash over the present members; equal on two routers that know the same ones. */
	get digest(): number {
		return this.digestValue;
	}

	/** Digest of each bucket. */
	get bucketDigests(): readonly number[] {
		return this.buckets.map(bucket => bucket.digest);
	}

	/** Whether any record is still to be sent to other routers. */
	get hasPendingUpdates(): boolean {
		return this.unsent.size + this.sent.size > 0;
	}

	get size(): number {
		return this.entries.size;
	}

	get(vm: ids.VmId): memberRecord.MemberRecord | undefined {
		return this.entries.get(vm)?.record;
	}

	changedAt(vm: ids.VmId): number {
		return this.entries.get(vm)?.changedAt ?? 0;
	}

	records(): memberRecord.MemberRecord[] {
		return [...this.entries.values()].map(entry => entry.record);
	}

	/** Stores a record as a pending update for `sends` messages. The caller has checked that it supersedes the stored one. */
	put(record: memberRecord.MemberRecord, now: number, sends: number): void {
		const before = this.entries.get(record.vm);
		invariant.assertInvariant(
			before === undefined || record.version >= before.record.version,
			'members.version-forward',
			() => `the record of ${record.vm} changed from version ${before?.record.version} to ${record.version}`,
		);
		const next = {
			record, hash: hashRecord(record), changedAt: now, remainingSends: sends,
		};
		this.entries.set(record.vm, next);
		this.xorIntoDigests(record.vm, (before?.hash ?? 0) ^ next.hash); // eslint-disable-line no-bitwise
		if (before === undefined) {
			this.buckets[bucketIndexOf(record.vm)]!.vms.push(record.vm);
		}

		this.sent.delete(record.vm);
		this.unsent.add(record.vm);
	}

	remove(vm: ids.VmId): void {
		const entry = this.entries.get(vm);
		if (entry === undefined) {
			return;
		}

		this.entries.delete(vm);
		this.xorIntoDigests(vm, entry.hash);
		const {vms} = this.buckets[bucketIndexOf(vm)]!;
		vms.splice(vms.indexOf(vm), 1);
		this.unsent.delete(vm);
		this.sent.delete(vm);
	}

	/** Takes up to `limit` pending updates, those not sent yet first, and counts one send for each. */
	takePendingUpdates(limit: number): memberRecord.MemberRecord[] {
		const vms = [...this.unsent].slice(0, limit);
		if (vms.length < limit) {
			vms.push(...[...this.sent].slice(0, limit - vms.length));
		}

		return vms.map(vm => this.takePendingUpdate(vm));
	}

	/** Takes up to `limit` records of the buckets in a bit mask; repeated calls cycle through all records. */
	takeFromBuckets(mask: number, limit: number): memberRecord.MemberRecord[] {
		const chosen = this.buckets.filter((bucket, index) => (mask & (1 << index)) !== 0 && bucket.vms.length > 0); // eslint-disable-line no-bitwise
		const result: memberRecord.MemberRecord[] = [];
		for (const [index, bucket] of chosen.entries()) {
			const share = Math.ceil((limit - result.length) / (chosen.length - index));
			const count = Math.min(share, bucket.vms.length);
			for (let i = 0; i < count; i++) {
				bucket.cursor = (bucket.cursor + 1) % bucket.vms.length;
				result.push(this.entries.get(bucket.vms[bucket.cursor]!)!.record);
			}
		}

		return result;
	}

	private takePendingUpdate(vm: ids.VmId): memberRecord.MemberRecord {
		const entry = this.entries.get(vm)!;
		entry.remainingSends -= 1;
		this.unsent.delete(vm);
		this.sent.delete(vm);
		if (entry.remainingSends > 0) {
			this.sent.add(vm);
		}

		return entry.record;
	}

	private xorIntoDigests(vm: ids.VmId, change: number): void {
		const bucket = this.buckets[bucketIndexOf(vm)]!;
		bucket.digest = (bucket.digest ^ change) >>> 0; // eslint-disable-line no-bitwise
		this.digestValue = (this.digestValue ^ change) >>> 0; // eslint-disable-line no-bitwise
	}
}

/** Returns the bit mask of the buckets whose digests differ. */
export function findDifferingBuckets(own: readonly number[], other: readonly number[]): number {
	let mask = 0;
	for (const [index, digest] of own.entries()) {
		if (digest !== other[index]) {
			mask |= 1 << index; // eslint-disable-line no-bitwise
		}
	}

	return mask;
}

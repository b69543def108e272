import type * as ids from '../model/ids.js';
import * as memberRecord from './member-record.js';

/** An incarnation that no record has shown. */
type UnseenIncarnation = {
	readonly vm: ids.VmId;
	readonly incarnation: ids.Incarnation;
	/** Time of the first query, in milliseconds. */
	readonly queriedAt: number;
};

const maxEndedPerVm = 8;
/** Number of VMs whose ended incarnations are kept; ten times the largest fleet. */
const maxVmsWithEnded = 4200;
const maxUnseenIncarnations = 4096;

/** Tracks which incarnations of each VM have ended. */
export class IncarnationHistory {
	private readonly endedIncarnations = new Map<ids.VmId, ids.Incarnation[]>();
	/** Incarnations that no record has shown, by `vm/incarnation`; the one that was queried first comes first. */
	private readonly unseen = new Map<string, UnseenIncarnation>();

	constructor(private readonly unseenTimeoutMs: number) {}

	/** Records an incarnation that was replaced by another one, or whose record was removed from the member table. */
	recordEnd(vm: ids.VmId, incarnation: ids.Incarnation): void {
		const list = this.endedIncarnations.get(vm) ?? [];
		if (list.includes(incarnation)) {
			return;
		}

		this.endedIncarnations.delete(vm);
		this.endedIncarnations.set(vm, [...list, incarnation].slice(-maxEndedPerVm));
		if (this.endedIncarnations.size > maxVmsWithEnded) {
			this.endedIncarnations.delete(this.endedIncarnations.keys().next().value!);
		}
	}

	/**
	 * Returns whether an incarnation has ended: it was declared dead, has left or was replaced, or no record of it
	 * has arrived within `unseenTimeoutMs` of the first query.
	 */
	hasEnded(
		record: memberRecord.MemberRecord | undefined,
		vm: ids.VmId,
		incarnation: ids.Incarnation,
		now: number,
	): boolean {
		if (record?.incarnation === incarnation) {
			return !memberRecord.isPresent(record);
		}

		if (this.endedIncarnations.get(vm)?.includes(incarnation)) {
			return true;
		}

		const unseen = this.unseen.get(`${vm}/${incarnation}`);
		if (unseen === undefined) {
			this.trackUnseen({vm, incarnation, queriedAt: now});
			return false;
		}

		return now - unseen.queriedAt >= this.unseenTimeoutMs;
	}

	/**
	 * Starts the timeout of an incarnation. If too many are tracked, the first one that has timed out makes room and is kept as
	 * ended; if none has, the new one is not tracked yet, since an eviction would restart the timeout of another.
	 */
	private trackUnseen(unseen: UnseenIncarnation): void {
		if (this.unseen.size >= maxUnseenIncarnations) {
			const [key, first] = this.unseen.entries().next().value!;
			if (unseen.queriedAt - first.queriedAt < this.unseenTimeoutMs) {
				return;
			}

			this.unseen.delete(key);
			this.recordEnd(first.vm, first.incarnation);
		}

		this.unseen.set(`${unseen.vm}/${unseen.incarnation}`, unseen);
	}
}

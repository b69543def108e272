import type * as ids from '../model/ids.js';
import * as memberRecord from './member-record.js';

const maxGonePerVm = 8;
const maxUnseenIncarnations = 4096;

/** Tells which incarnations are over. */
export class IncarnationHistory {
	private readonly goneIncarnations = new Map<ids.VmId, ids.Incarnation[]>();
	/** When an incarnation that has not been seen was first asked for. */
	private readonly unseenQueriedAt = new Map<string, number>();

	constructor(private readonly unseenTimeoutMs: number) {}

	/** Records that another incarnation has taken the place of this one. */
	markGone(vm: ids.VmId, incarnation: ids.Incarnation): void {
		const list = this.goneIncarnations.get(vm) ?? [];
		if (list.includes(incarnation)) {
			return;
		}

		list.push(incarnation);
		this.goneIncarnations.set(vm, list.slice(-maxGonePerVm));
	}

	/**
	 * Returns whether an incarnation is over: judged dead, left or replaced, or not seen for the settling time since it
	 * was first asked for.
	 */
	isGone(
		record: memberRecord.MemberRecord | undefined,
		vm: ids.VmId,
		incarnation: ids.Incarnation,
		now: number,
	): boolean {
		if (record?.incarnation === incarnation) {
			return !memberRecord.isPresent(record);
		}

		if (this.goneIncarnations.get(vm)?.includes(incarnation)) {
			return true;
		}

		return this.unseenDurationMs(`${vm}/${incarnation}`, now) >= this.unseenTimeoutMs;
	}

	private unseenDurationMs(key: string, now: number): number {
		const first = this.unseenQueriedAt.get(key);
		if (first !== undefined) {
			return now - first;
		}

		if (this.unseenQueriedAt.size >= maxUnseenIncarnations) {
			const [oldest] = this.unseenQueriedAt.keys();
			this.unseenQueriedAt.delete(oldest!);
		}

		this.unseenQueriedAt.set(key, now);
		return 0;
	}
}

import type * as ids from '../model/ids.js';
import * as memberRecord from './member-record.js';

const maxPastPerVm = 8;
const maxAsked = 4096;

/** Tells which incarnations are over. */
export class IncarnationHistory {
	private readonly past = new Map<ids.VmId, ids.Incarnation[]>();
	/** When an incarnation that has not been seen was first asked for. */
	private readonly asked = new Map<string, number>();

	constructor(private readonly settleMs: number) {}

	/** Records that another incarnation has taken the place of this one. */
	replaced(vm: ids.VmId, incarnation: ids.Incarnation): void {
		const list = this.past.get(vm) ?? [];
		if (list.includes(incarnation)) {
			return;
		}

		list.push(incarnation);
		this.past.set(vm, list.slice(-maxPastPerVm));
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

		if (this.past.get(vm)?.includes(incarnation)) {
			return true;
		}

		return this.unseenFor(`${vm}/${incarnation}`, now) >= this.settleMs;
	}

	private unseenFor(key: string, now: number): number {
		const first = this.asked.get(key);
		if (first !== undefined) {
			return now - first;
		}

		if (this.asked.size >= maxAsked) {
			const [oldest] = this.asked.keys();
			this.asked.delete(oldest!);
		}

		this.asked.set(key, now);
		return 0;
	}
}

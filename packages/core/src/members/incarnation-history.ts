import type * as ids from '../model/ids.js';
import * as memberRecord from './member-record.js';

const maxEndedPerVm = 8;
const maxUnseenIncarnations = 4096;

/** Tracks which incarnations of each VM have ended. */
export class IncarnationHistory {
	private readonly endedIncarnations = new Map<ids.VmId, ids.Incarnation[]>();
	/** First `hasEnded` query, in milliseconds, for each incarnation that no record has shown; keyed by `vm/incarnation`. */
	private readonly unseenQueriedAt = new Map<string, number>();

	constructor(private readonly unseenTimeoutMs: number) {}

	/** Records an incarnation that was replaced by another one, or whose record was removed from the member table. */
	recordEnd(vm: ids.VmId, incarnation: ids.Incarnation): void {
		const list = this.endedIncarnations.get(vm) ?? [];
		if (list.includes(incarnation)) {
			return;
		}

		list.push(incarnation);
		this.endedIncarnations.set(vm, list.slice(-maxEndedPerVm));
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

import * as fs from 'node:fs';

/**
 * How long the main thread of a process and all of its other threads together ran, and waited for a processor while they could have run, since
 * the entry before, or since its start. A main thread that does neither is idle, or waits for one of the others, as in a collection of garbage.
 */
export type SchedulingEntry = {
	readonly process: string;
	/** End of the interval, in milliseconds since the Unix epoch. */
	readonly at: number;
	readonly ranMs: number;
	readonly waitedMs: number;
	readonly othersRanMs: number;
	readonly othersWaitedMs: number;
	/** Function of the operating system in which the main thread is blocked at the end of the interval; empty if it is not, or not known. */
	readonly blockedIn: string;
};

type Totals = {
	readonly ranNs: number;
	readonly waitedNs: number;
};

const nanosecondsPerMillisecond = 1e6;

/** Records how long processes wait for a processor, which distinguishes slow processes from such that are not scheduled. Linux only. */
export class SchedulingRecord {
	readonly entries: SchedulingEntry[] = [];
	/** Totals of each thread, by its id. */
	readonly #totals = new Map<number, Totals>();

	/** Adds an entry for a process, unless the operating system has no statistics for it. */
	sample(name: string, pid: number, now: number): void {
		const main = this.#readDifference(pid, pid);
		if (main === undefined) {
			return;
		}

		const others = listThreads(pid).filter(thread => thread !== pid).map(thread => this.#readDifference(pid, thread) ?? {ranNs: 0, waitedNs: 0});
		this.entries.push({
			process: name,
			at: now,
			ranMs: toMs(main.ranNs),
			waitedMs: toMs(main.waitedNs),
			othersRanMs: toMs(others.reduce((sum, {ranNs}) => sum + ranNs, 0)),
			othersWaitedMs: toMs(others.reduce((sum, {waitedNs}) => sum + waitedNs, 0)),
			blockedIn: readText(`/proc/${pid}/wchan`)?.replace(/^0$/, '') ?? '',
		});
	}

	/** Returns what a thread ran and waited since it was last read; all of it at the first time. */
	#readDifference(pid: number, thread: number): Totals | undefined {
		const totals = readTotals(`/proc/${pid}/task/${thread}/schedstat`);
		const former = this.#totals.get(thread) ?? {ranNs: 0, waitedNs: 0};
		if (totals === undefined) {
			return undefined;
		}

		this.#totals.set(thread, totals);
		return {ranNs: totals.ranNs - former.ranNs, waitedNs: totals.waitedNs - former.waitedNs};
	}
}

function listThreads(pid: number): number[] {
	try {
		return fs.readdirSync(`/proc/${pid}/task`).map(Number);
	} catch {
		return [];
	}
}

function readTotals(file: string): Totals | undefined {
	const text = readText(file);
	if (text === undefined) {
		return undefined;
	}

	const [ranNs, waitedNs] = text.split(' ').map(Number);
	return {ranNs: ranNs!, waitedNs: waitedNs!};
}

function readText(file: string): string | undefined {
	try {
		return fs.readFileSync(file, 'utf8');
	} catch {
		return undefined;
	}
}

function toMs(nanoseconds: number): number {
	return Math.round(nanoseconds / nanosecondsPerMillisecond);
}

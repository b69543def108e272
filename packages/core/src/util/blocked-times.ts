type BlockedTime = {readonly startedAt: number; readonly endedAt: number};

/** Time for which blocked times are kept, in milliseconds; waits that rest on them are shorter. */
const keptMs = 10_000;

/**
 * Times for which the event loop of this process was blocked, so that nothing was read and nothing was sent. All times are in milliseconds of one clock.
 */
export class BlockedTimes {
	#times: readonly BlockedTime[] = [];

	/** Records that the event loop was blocked up to now. */
	record(blockedMs: number, now: number): void {
		const kept = this.#times.filter(({endedAt}) => now - endedAt <= keptMs);
		this.#times = [...kept, {startedAt: now - blockedMs, endedAt: now}];
	}

	/** Returns the part of the time since a moment for which the event loop was not blocked. */
	computeUnblockedMs(since: number, now: number): number {
		let unblockedMs = now - since;
		for (const {startedAt, endedAt} of this.#times) {
			unblockedMs -= Math.max(0, Math.min(endedAt, now) - Math.max(startedAt, since));
		}

		return unblockedMs;
	}
}

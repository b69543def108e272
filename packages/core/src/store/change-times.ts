/**
 * When a change that a read of the key-value store shows was written. Times are in milliseconds of a clock that also counts the time that
 * the VM was suspended.
 */
export type ChangeInterval = {
	/** When the change was certainly not written yet; `-Infinity` for the first read. */
	readonly after: number;
	/** Earliest time to assume: within the delay of the reads while the store can be reached, however long it could not be before. */
	readonly assumed: number;
	/** When the read ended. */
	readonly before: number;
	/** Whether no failed call and no suspension delayed the read, so that the change was written at about `assumed`. */
	readonly isPrompt?: boolean;
};

/** Times of a call to the store. */
export type CallTimes = {
	readonly startedAt: number;
	readonly endedAt: number;
	/** Time for which the VM has been suspended until now, in milliseconds. */
	readonly suspendedMs: number;
};

/** Limits of {@link ChangeTimes}, in milliseconds. */
export type ChangeTimesOptions = {
	/** Longest time until a change is read once the store can be reached again. */
	readonly maxRecoveryMs: number;
	/** Duration of a poll up to which the changes that it returned can have been written before it began. */
	readonly promptPollMs: number;
	/** Length from which a suspension of the VM is considered; the two clocks that show it are read one after the other. */
	readonly minSuspensionMs: number;
};

/** The recovery covers a delay between two calls, the timeout of a connection attempt and that of a call. */
export const defaultChangeTimesOptions: ChangeTimesOptions = {maxRecoveryMs: 2000, promptPollMs: 100, minSuspensionMs: 50};

/** Derives from the calls of one feed when the changes that it reads were written. */
export class ChangeTimes {
	#last: CallTimes | undefined;
	#hasFailedSince = false;

	constructor(private readonly options: ChangeTimesOptions = defaultChangeTimesOptions) {}

	/** Records a call after which all changes from before its start are known. */
	recordSuccess(call: CallTimes): void {
		this.#last = call;
		this.#hasFailedSince = false;
	}

	/** Records a call that failed. */
	recordFailure(): void {
		this.#hasFailedSince = true;
	}

	/** Returns when the changes that a call shows as new were written. */
	intervalOf(call: CallTimes): ChangeInterval {
		const last = this.#last;
		if (last === undefined) {
			return {after: -Infinity, assumed: call.endedAt, before: call.endedAt};
		}

		const isPrompt = !this.#hasFailedSince && call.suspendedMs - last.suspendedMs <= this.options.minSuspensionMs;
		return {
			after: last.startedAt, assumed: isPrompt ? this.#assumePrompt(call, last) : this.#assumeLate(call, last), before: call.endedAt, isPrompt,
		};
	}

	/** A poll that waits returns as soon as there is a change; one that returns at once shows what changed since the last one ended. */
	#assumePrompt({startedAt, endedAt}: CallTimes, last: CallTimes): number {
		return endedAt - startedAt > this.options.promptPollMs ? endedAt : last.endedAt;
	}

	#assumeLate({endedAt, suspendedMs}: CallTimes, last: CallTimes): number {
		return Math.max(last.startedAt, endedAt - (suspendedMs - last.suspendedMs) - this.options.maxRecoveryMs);
	}
}

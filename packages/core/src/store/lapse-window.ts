/** Times of {@link LapseWindow}, in milliseconds. */
export type LapseOptions = {
	/** Interval between the writes of an entry by its endpoint. A shorter outage leaves time for the next write before the entry expires. */
	readonly heartbeatMs: number;
	/** Time after the return of the store within which live endpoints have written expired entries again. */
	readonly returnGraceMs: number;
};

/** The platform's documentation states both. */
export const defaultLapseOptions: LapseOptions = {heartbeatMs: 1200, returnGraceMs: 2000};

/**
 * A time in which entries of live endpoints may be missing, since the store was unavailable before. In milliseconds of a clock that also counts
 * the time that the VM was suspended.
 */
export type Lapse = {
	/** When the store responded again. An entry that was written later has not expired in the outage. */
	readonly returnedAt: number;
	/** When all live endpoints have written their entries again. */
	readonly endsAt: number;
};

/**
 * Derives from the calls of a VM whether entries may be missing since they expired in an outage of the store. The time limit runs from the return
 * of the store, not from when an entry was found missing. An outage that only this VM sees can't be told from one of the store.
 */
export class LapseWindow {
	/** When the store last responded; `-Infinity` before the first response, whatever happened until then. */
	#respondedAt = -Infinity;
	#hasFailedSince = false;
	#lapse: Lapse | undefined;
	/** Whether the store became unavailable during the lapse, so that endpoints can't write their entries. */
	#isOpen = false;

	constructor(private readonly options: LapseOptions = defaultLapseOptions) {}

	/** Records a response of the store, which may be a rejection by its rate limit. */
	recordResponse(now: number): void {
		if (this.#hasFailedSince && now - this.#respondedAt >= this.options.heartbeatMs) {
			this.recordReturn(now);
		}

		this.#respondedAt = now;
		this.#hasFailedSince = false;
		this.#isOpen = false;
	}

	/** Records a call to which the store did not respond, or by which it said that it is unavailable. */
	recordFailure(now: number): void {
		this.#hasFailedSince = true;
		this.#isOpen ||= this.lapseAt(now) !== undefined;
	}

	/** Records that the store is back from an outage. */
	recordReturn(now: number): void {
		this.#lapse = {returnedAt: now, endsAt: now + this.options.returnGraceMs};
	}

	/** Returns the time in which entries may be missing; `undefined` if there was no outage or it has ended. Its end is `Infinity` during the next outage. */
	lapseAt(now: number): Lapse | undefined {
		if (this.#lapse === undefined || (now >= this.#lapse.endsAt && !this.#isOpen)) {
			return undefined;
		}

		return this.#isOpen ? {...this.#lapse, endsAt: Infinity} : this.#lapse;
	}
}

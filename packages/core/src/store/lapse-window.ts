/** Times of {@link LapseWindow}, in milliseconds. */
export type LapseOptions = {
	/** Interval between the writes of an entry by its endpoint; the entry expires after three without a write. */
	readonly heartbeatMs: number;
	/** Time after the return of the store within which live endpoints have written expired entries again. */
	readonly returnGraceMs: number;
};

/** The platform's documentation states both. */
export const defaultLapseOptions: LapseOptions = {heartbeatMs: 1200, returnGraceMs: 2000};

/** Remaining lifetime of the oldest entries when an outage begins, in heartbeat intervals: the last write may be a quarter of an interval late. */
const remainingHeartbeats = 1.75;
/** Time that a request takes to reach an endpoint, in milliseconds; one that left just before the return may get requests until `returnGraceMs` after it. */
const arrivalMs = 50;
/** Longest time from the return of the store until it is noticed that the time limit allows for; only a long poll without a response takes longer. */
const maxNoticeMs = 1000;

/**
 * A time in which entries of live endpoints may be missing, since the store was unavailable before. In milliseconds of a clock that also counts
 * the time that the VM was suspended.
 */
export type Lapse = {
	/** When the first entry can have expired. */
	readonly beginsAt: number;
	/** When the store responded again. An entry that was written later has not expired in the outage. */
	readonly returnedAt: number;
	/** When all live endpoints have written their entries again. */
	readonly endsAt: number;
};

/** One moment on the clock that stands still while the VM is suspended and on the one that does not, in milliseconds. */
export type CallInstant = {
	readonly monotonic: number;
	readonly suspendAware: number;
};

/**
 * Derives from the calls of a VM whether entries may be missing since they expired in an outage of the store. The time limit runs from the return
 * of the store, not from when an entry was found missing. An outage of this VM's own connections looks the same to it as one of the store.
 */
export class LapseWindow {
	/** When the store last responded; `-Infinity` before the first response, whatever happened until then. */
	#respondedAt = -Infinity;
	#hasFailedSince = false;
	/** When the last call began that failed, by the clock without suspensions; the store may have returned at any time since. */
	#failedCallStartedAt = -Infinity;
	/** When the store responded last before the first of the outages that left endpoints no time to write their entries in between. */
	#unavailableFrom = -Infinity;
	/** When the latest outage ended. */
	#regainedAt = -Infinity;
	#lapse: Lapse | undefined;
	/** Whether the store became unavailable during the lapse, so that endpoints can't write their entries. */
	#isOpen = false;

	constructor(private readonly options: LapseOptions = defaultLapseOptions) {}

	/**
	 * Records a response of the store, which may be a rejection by its rate limit.
	 *
	 * @param suspendedMs - Time for which the VM was suspended during the call; the response may be that old.
	 */
	recordResponse(now: CallInstant, suspendedMs = 0): void {
		if (suspendedMs >= this.options.heartbeatMs) {
			// The store may have been unavailable in that time.
			this.recordFailure(now.monotonic, now.suspendAware);
		}

		if (this.#hasFailedSince) {
			this.#recordOutage(now);
		}

		this.#respondedAt = now.suspendAware - suspendedMs;
		this.#hasFailedSince = false;
		this.#isOpen = false;
	}

	/**
	 * Records a call to which the store did not respond, or by which it said that it is unavailable.
	 *
	 * @param startedAt - When the call began, by the clock without suspensions.
	 */
	recordFailure(startedAt: number, now: number): void {
		this.#failedCallStartedAt = startedAt;
		if (!this.#hasFailedSince && this.#respondedAt - this.#regainedAt >= this.options.heartbeatMs) {
			this.#unavailableFrom = this.#respondedAt;
		}

		this.#hasFailedSince = true;
		this.#isOpen ||= this.lapseAt(now) !== undefined;
	}

	/** Records that the store is back from a copy, which lacks entries that were written since. */
	recordReturn(now: number): void {
		this.#lapse = {beginsAt: now, returnedAt: now, endsAt: now + this.options.returnGraceMs - arrivalMs};
	}

	/** Returns the time in which entries may be missing; `undefined` if there was no outage or it has ended. Its end is `Infinity` during the next outage. */
	lapseAt(now: number): Lapse | undefined {
		if (this.#lapse === undefined || now < this.#lapse.beginsAt || (now >= this.#lapse.endsAt && !this.#isOpen)) {
			return undefined;
		}

		return this.#isOpen ? {...this.#lapse, endsAt: Infinity} : this.#lapse;
	}

	/** Records the end of an outage; a short one leaves time for the next write before an entry expires. */
	#recordOutage({monotonic, suspendAware: now}: CallInstant): void {
		const {heartbeatMs, returnGraceMs} = this.options;
		this.#regainedAt = now;
		if (now - this.#respondedAt >= heartbeatMs) {
			const overdueMs = Math.max(0, monotonic - this.#failedCallStartedAt - maxNoticeMs);
			const beginsAt = this.#isOpen ? this.#lapse!.beginsAt : this.#unavailableFrom + (remainingHeartbeats * heartbeatMs);
			this.#lapse = {beginsAt, returnedAt: now, endsAt: now - overdueMs + returnGraceMs - arrivalMs};
		}
	}
}

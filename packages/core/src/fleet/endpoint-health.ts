/** Bounds of passive health, in milliseconds unless named otherwise. */
export type HealthTerms = {
	/** An endpoint that sends nothing for this long after an answer was due counts as unresponsive. */
	readonly silenceMs: number;
	/** Failed connections or unexplained resets in a row after which an endpoint counts as unresponsive. */
	readonly failuresInRow: number;
	/** How long an unresponsive endpoint gets no requests before it is checked again. */
	readonly checkIntervalMs: number;
	/** Weight of the newest outcome in the moving average of failures. */
	readonly failureWeight: number;
};

/**
 * The silence bound is a little over the first-token target of both deployments, which endpoints that answer at all
 * rarely exceed; checks once a second keep the price of probes low.
 */
export const defaultHealthTerms: HealthTerms = {
	silenceMs: 900, failuresInRow: 3, checkIntervalMs: 1000, failureWeight: 0.1,
};

/** How an endpoint has behaved, from the traffic that it was sent. */
type Record = {
	/** Last time at which anything arrived from it. */
	heardAt: number;
	/** When the first byte of each unanswered request was due, by attempt. */
	readonly waiting: Map<string, number>;
	failuresInRow: number;
	/** Moving average of failures, from 0 to 1. */
	failureRate: number;
	/** When it was found unresponsive, until a check succeeds. */
	unresponsiveSince?: number;
	checkedAt: number;
};

/** Judges endpoints by the answers that they give, so that no health checks are needed while they work. */
export class EndpointHealth {
	readonly #records = new Map<string, Record>();

	constructor(private readonly terms: HealthTerms = defaultHealthTerms) {}

	/**
	 * Notes a request that was sent.
	 *
	 * @param expectedMs - Time after which the first byte of its answer is due.
	 */
	noteSent(endpoint: string, attempt: string, expectedMs: number, now: number): void {
		this.#record(endpoint).waiting.set(attempt, now + expectedMs);
	}

	/** Notes bytes from an endpoint, which belong to one attempt. */
	noteHeard(endpoint: string, attempt: string, now: number): void {
		const record = this.#record(endpoint);
		record.heardAt = now;
		record.waiting.delete(attempt);
	}

	/** Notes the end of an attempt, whatever its outcome. */
	noteEnded(endpoint: string, attempt: string): void {
		this.#records.get(endpoint)?.waiting.delete(attempt);
	}

	/** Notes an answer: an error of its own counts as a failure, a refusal before the start does not. */
	noteOutcome(endpoint: string, isFailure: boolean): void {
		const record = this.#record(endpoint);
		record.failuresInRow = isFailure ? record.failuresInRow + 1 : 0;
		record.failureRate += this.terms.failureWeight * ((isFailure ? 1 : 0) - record.failureRate);
	}

	/**
	 * Notes that no connection could be opened or that one broke without an answer.
	 *
	 * @returns Whether the endpoint is now taken as unresponsive.
	 */
	noteBroken(endpoint: string, now: number): boolean {
		this.noteOutcome(endpoint, true);
		const record = this.#record(endpoint);
		if (record.failuresInRow < this.terms.failuresInRow || record.unresponsiveSince !== undefined) {
			return false;
		}

		this.#suspect(record, now);
		return true;
	}

	/** Notes the result of a check. */
	noteCheck(endpoint: string, isAlive: boolean, now: number): void {
		const record = this.#record(endpoint);
		record.checkedAt = now;
		if (isAlive) {
			record.unresponsiveSince = undefined;
			record.failuresInRow = 0;
			record.heardAt = now;
			record.waiting.clear();
		}
	}

	/** Finds endpoints that fell silent; each is returned once. */
	findSilent(now: number): string[] {
		const silent: string[] = [];
		for (const [endpoint, record] of this.#records) {
			if (record.unresponsiveSince === undefined && this.#isSilent(record, now)) {
				this.#suspect(record, now);
				silent.push(endpoint);
			}
		}

		return silent;
	}

	/** Returns the unresponsive endpoints that are due for a check. */
	dueForCheck(now: number): string[] {
		return [...this.#records]
			.filter(([, record]) => record.unresponsiveSince !== undefined
				&& now - record.checkedAt >= this.terms.checkIntervalMs)
			.map(([endpoint]) => endpoint);
	}

	/** Whether an endpoint may get requests. */
	isResponsive(endpoint: string): boolean {
		return this.#records.get(endpoint)?.unresponsiveSince === undefined;
	}

	/** Moving average of failures, from 0 to 1. */
	failureRate(endpoint: string): number {
		return this.#records.get(endpoint)?.failureRate ?? 0;
	}

	/** Forgets endpoints that are no longer listed. */
	retain(listed: ReadonlySet<string>): void {
		for (const endpoint of this.#records.keys()) {
			if (!listed.has(endpoint)) {
				this.#records.delete(endpoint);
			}
		}
	}

	#isSilent(record: Record, now: number): boolean {
		for (const dueAt of record.waiting.values()) {
			if (now - Math.max(dueAt, record.heardAt) >= this.terms.silenceMs) {
				return true;
			}
		}

		return false;
	}

	#suspect(record: Record, now: number): void {
		record.unresponsiveSince = now;
		record.checkedAt = now;
	}

	#record(endpoint: string): Record {
		const known = this.#records.get(endpoint);
		if (known !== undefined) {
			return known;
		}

		const record: Record = {
			heardAt: -Infinity, waiting: new Map(), failuresInRow: 0, failureRate: 0, checkedAt: -Infinity,
		};
		this.#records.set(endpoint, record);
		return record;
	}
}

/** Bounds of passive health, in milliseconds unless named otherwise. */
export type HealthOptions = {
	/** An endpoint that sends nothing for this long after an answer was due is suspected to be dead. */
	readonly silenceTimeoutMs: number;
	/** Failed connections or unexplained resets in a row after which an endpoint is suspected. */
	readonly maxConsecutiveFailures: number;
	/** Pause between checks of an endpoint that did not answer the last one. */
	readonly checkIntervalMs: number;
	/** Weight of the newest outcome in the moving average of failures. */
	readonly failureWeight: number;
};

/**
 * Endpoints that work send something at each step, some tens of milliseconds apart, to one VM or another; a check costs
 * less than a request that waits for a dead endpoint.
 */
export const defaultHealthOptions: HealthOptions = {
	silenceTimeoutMs: 500, maxConsecutiveFailures: 3, checkIntervalMs: 1000, failureWeight: 0.1,
};

/** What is believed of an endpoint. */
enum HealthState {
	Responsive = 'responsive',
	/** A check is due or under way; the endpoint still gets requests. */
	Suspected = 'suspected',
	/** The last check was not answered; the endpoint gets no requests. */
	Unresponsive = 'unresponsive',
}

type EndpointRecord = {
	state: HealthState;
	/** Last time at which anything arrived from it. */
	lastReceivedAt: number;
	/** When the first byte of each unanswered request was due, by attempt. */
	readonly answersDueAt: Map<string, number>;
	consecutiveFailures: number;
	/** Moving average of failures, from 0 to 1. */
	failureRate: number;
	checkedAt: number;
};

/** Judges endpoints by the answers that they give, so that only suspected ones need a check. */
export class EndpointHealth {
	readonly #records = new Map<string, EndpointRecord>();

	constructor(private readonly terms: HealthOptions = defaultHealthOptions) {}

	/**
	 * Notes a request that was sent.
	 *
	 * @param expectedMs - Time after which the first byte of its answer is due.
	 */
	noteSent(endpoint: string, attempt: string, expectedMs: number, now: number): void {
		this.#getOrCreateRecord(endpoint).answersDueAt.set(attempt, now + expectedMs);
	}

	/** Notes bytes from an endpoint, which belong to one attempt. */
	noteReceived(endpoint: string, attempt: string, now: number): void {
		const record = this.#getOrCreateRecord(endpoint);
		record.lastReceivedAt = now;
		record.answersDueAt.delete(attempt);
	}

	/** Notes the end of an attempt, whatever its outcome. */
	noteEnded(endpoint: string, attempt: string): void {
		this.#records.get(endpoint)?.answersDueAt.delete(attempt);
	}

	/** Notes an answer: an error of its own counts as a failure, a refusal before the start does not. */
	noteOutcome(endpoint: string, isFailure: boolean): void {
		const record = this.#getOrCreateRecord(endpoint);
		record.consecutiveFailures = isFailure ? record.consecutiveFailures + 1 : 0;
		record.failureRate += this.terms.failureWeight * ((isFailure ? 1 : 0) - record.failureRate);
	}

	/** Notes that no connection could be opened or that one broke without an answer. */
	noteConnectionFailure(endpoint: string): void {
		this.noteOutcome(endpoint, true);
		const record = this.#getOrCreateRecord(endpoint);
		if (record.consecutiveFailures >= this.terms.maxConsecutiveFailures && record.state === HealthState.Responsive) {
			record.state = HealthState.Suspected;
			record.checkedAt = -Infinity;
		}
	}

	/** Notes that another incarnation or nothing at all answers at the endpoint's address; a check follows at once. */
	noteGone(endpoint: string): void {
		const record = this.#getOrCreateRecord(endpoint);
		record.state = HealthState.Unresponsive;
		record.checkedAt = -Infinity;
	}

	/**
	 * Notes the result of a check.
	 *
	 * @returns Whether the endpoint is now believed to be otherwise than before.
	 */
	noteCheck(endpoint: string, isAlive: boolean, now: number): boolean {
		const record = this.#getOrCreateRecord(endpoint);
		const wasUnresponsive = record.state === HealthState.Unresponsive;
		record.checkedAt = now;
		record.state = isAlive ? HealthState.Responsive : HealthState.Unresponsive;
		if (isAlive) {
			record.consecutiveFailures = 0;
			record.lastReceivedAt = now;
		}

		return wasUnresponsive === isAlive;
	}

	/**
	 * Finds endpoints that are due for a check: those that fell silent, failed repeatedly, or did not answer the last check.
	 *
	 * @param heardByOthers - When an endpoint last sent anything to another VM.
	 */
	startDueChecks(heardByOthers: (endpoint: string) => number, now: number): string[] {
		const due: string[] = [];
		for (const [endpoint, record] of this.#records) {
			if (record.state === HealthState.Responsive && this.#isSilent(record, heardByOthers(endpoint), now)) {
				record.state = HealthState.Suspected;
				record.checkedAt = -Infinity;
			}

			if (record.state !== HealthState.Responsive && now - record.checkedAt >= this.terms.checkIntervalMs) {
				record.checkedAt = now;
				due.push(endpoint);
			}
		}

		return due;
	}

	/** Whether an endpoint may get requests. */
	isResponsive(endpoint: string): boolean {
		return this.#records.get(endpoint)?.state !== HealthState.Unresponsive;
	}

	/** Moving average of failures, from 0 to 1. */
	failureRate(endpoint: string): number {
		return this.#records.get(endpoint)?.failureRate ?? 0;
	}

	/** When an endpoint last sent anything; minus infinity where it never did. */
	lastReceivedAt(endpoint: string): number {
		return this.#records.get(endpoint)?.lastReceivedAt ?? -Infinity;
	}

	/** Forgets endpoints that are no longer listed. */
	retain(listed: ReadonlySet<string>): void {
		for (const endpoint of this.#records.keys()) {
			if (!listed.has(endpoint)) {
				this.#records.delete(endpoint);
			}
		}
	}

	#isSilent(record: EndpointRecord, heardByOthers: number, now: number): boolean {
		const heardAt = Math.max(record.lastReceivedAt, heardByOthers);
		for (const dueAt of record.answersDueAt.values()) {
			if (now - Math.max(dueAt, heardAt) >= this.terms.silenceTimeoutMs) {
				return true;
			}
		}

		return false;
	}

	#getOrCreateRecord(endpoint: string): EndpointRecord {
		const known = this.#records.get(endpoint);
		if (known !== undefined) {
			return known;
		}

		const record: EndpointRecord = {
			state: HealthState.Responsive, lastReceivedAt: -Infinity, answersDueAt: new Map(), consecutiveFailures: 0, failureRate: 0, checkedAt: -Infinity,
		};
		this.#records.set(endpoint, record);
		return record;
	}
}

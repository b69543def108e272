import * as blockedTimes from '../util/blocked-times.js';

/** Options of passive health checks, in milliseconds unless the name says otherwise. */
export type HealthOptions = {
	/** An endpoint that sends nothing for this long after a response was due becomes suspected. */
	readonly silenceTimeoutMs: number;
	/** Consecutive failures, the last a failed or broken connection, after which an endpoint becomes suspected. */
	readonly maxConsecutiveFailures: number;
	/** Interval between checks of an endpoint that did not respond to the last one. */
	readonly checkIntervalMs: number;
	/** Weight of the newest outcome in the moving average of failures. */
	readonly failureWeight: number;
};

/**
 * A working endpoint sends data to some VM at each decode step, every few tens of milliseconds. A check costs less than a
 * request that waits for an endpoint that never responds.
 */
export const defaultHealthOptions: HealthOptions = {
	silenceTimeoutMs: 500, maxConsecutiveFailures: 3, checkIntervalMs: 1000, failureWeight: 0.1,
};

/** Health of an endpoint as this VM sees it. */
enum HealthState {
	Responsive = 'responsive',
	/** A check is due or in progress; the endpoint still gets requests. */
	Suspected = 'suspected',
	/** The last check failed, or another incarnation or nothing responds at its address; it gets no requests. */
	Unresponsive = 'unresponsive',
}

/** Why an endpoint is not taken for responsive. */
enum Suspicion {
	/** It sent nothing when a response was due; refuted by anything that it sends. */
	Silence = 'silence',
	/** Connections failed, or another incarnation or nothing responds at its address; refuted only by a check. */
	Failure = 'failure',
}

type EndpointRecord = {
	state: HealthState;
	suspicion: Suspicion;
	/** Time at which data last arrived from the endpoint. */
	lastReceivedAt: number;
	/** Time at which the first byte of the response to each request is due, by attempt. */
	readonly responsesDueAt: Map<string, number>;
	consecutiveFailures: number;
	/** Moving average of failures, from 0 to 1. */
	failureRate: number;
	checkedAt: number;
};

/** Tracks the health of endpoints by their responses, so that only suspected ones need a check. */
export class EndpointHealth {
	readonly #records = new Map<string, EndpointRecord>();
	readonly #blockedTimes = new blockedTimes.BlockedTimes();

	constructor(private readonly options: HealthOptions = defaultHealthOptions) {}

	/**
	 * Records a request that was sent.
	 *
	 * @param expectedMs - Time until the first byte of the response is due, in milliseconds.
	 */
	recordSent(endpoint: string, attempt: string, expectedMs: number, now: number): void {
		this.#getOrCreateRecord(endpoint).responsesDueAt.set(attempt, now + expectedMs);
	}

	/**
	 * Records that data for an attempt arrived from an endpoint.
	 *
	 * @returns Whether the endpoint has become responsive by that, as it was only silent.
	 */
	recordReceived(endpoint: string, attempt: string, now: number): boolean {
		const record = this.#getOrCreateRecord(endpoint);
		record.lastReceivedAt = now;
		record.responsesDueAt.delete(attempt);
		if (record.state !== HealthState.Unresponsive || record.suspicion !== Suspicion.Silence) {
			return false;
		}

		record.state = HealthState.Responsive;
		return true;
	}

	/** Records that this VM read nothing for a time, which does not count as silence of endpoints. */
	recordBlocked(blockedMs: number, now: number): void {
		this.#blockedTimes.record(blockedMs, now);
	}

	/** Records the end of an attempt, regardless of its outcome. */
	recordEnd(endpoint: string, attempt: string): void {
		this.#records.get(endpoint)?.responsesDueAt.delete(attempt);
	}

	/** Records the outcome of an attempt. An error of the endpoint is a failure; a refusal before the start is not. */
	recordOutcome(endpoint: string, isFailure: boolean): void {
		const record = this.#getOrCreateRecord(endpoint);
		record.consecutiveFailures = isFailure ? record.consecutiveFailures + 1 : 0;
		record.failureRate += this.options.failureWeight * ((isFailure ? 1 : 0) - record.failureRate);
	}

	/** Records that a connection could not be opened or was lost before a response. */
	recordConnectionFailure(endpoint: string): void {
		this.recordOutcome(endpoint, true);
		const record = this.#getOrCreateRecord(endpoint);
		if (record.consecutiveFailures >= this.options.maxConsecutiveFailures && record.state === HealthState.Responsive) {
			suspect(record, Suspicion.Failure);
		}
	}

	/** Records that another incarnation, or nothing, responds at the endpoint's address; a check becomes due at once. */
	recordUnresponsive(endpoint: string): void {
		const record = this.#getOrCreateRecord(endpoint);
		suspect(record, Suspicion.Failure);
		record.state = HealthState.Unresponsive;
	}

	/**
	 * Records the result of a check. A silent endpoint that has sent data since the check began is alive, whatever became of the check.
	 *
	 * @returns Whether the endpoint changed between responsive and unresponsive.
	 */
	recordCheck(endpoint: string, isAlive: boolean, now: number): boolean {
		const record = this.#getOrCreateRecord(endpoint);
		const wasUnresponsive = record.state === HealthState.Unresponsive;
		const isSending = record.suspicion === Suspicion.Silence && record.lastReceivedAt > record.checkedAt;
		const isResponsive = isAlive || isSending;
		record.checkedAt = now;
		record.state = isResponsive ? HealthState.Responsive : HealthState.Unresponsive;
		if (isAlive) {
			record.consecutiveFailures = 0;
			record.lastReceivedAt = now;
		}

		return wasUnresponsive === isResponsive;
	}

	/**
	 * Returns the endpoints that are due for a check and marks the checks as started. Due are endpoints that sent nothing when
	 * a response was due, failed repeatedly, or did not respond to the last check.
	 *
	 * @param lastReceivedByOthers - Returns when an endpoint last sent data to another VM.
	 * @param mayCheck - Returns whether an endpoint that is due may be checked now; asked only for these.
	 */
	startDueChecks(lastReceivedByOthers: (endpoint: string) => number, now: number, mayCheck: (endpoint: string) => boolean = () => true): string[] {
		const due: string[] = [];
		for (const [endpoint, record] of this.#records) {
			// The other VMs are asked only about endpoints that are silent to this one, since that takes time for each of them.
			const isSilent = record.state === HealthState.Responsive
				&& this.#isSilent(record, -Infinity, now)
				&& this.#isSilent(record, lastReceivedByOthers(endpoint), now);
			if (isSilent) {
				suspect(record, Suspicion.Silence);
			}

			const isDue = record.state !== HealthState.Responsive && now - record.checkedAt >= this.options.checkIntervalMs;
			if (isDue && mayCheck(endpoint)) {
				record.checkedAt = now;
				due.push(endpoint);
			}
		}

		return due;
	}

	/** Takes an endpoint for responsive until its next failure, since it is reached over another path from now on. */
	forget(endpoint: string): void {
		const record = this.#records.get(endpoint);
		if (record !== undefined) {
			record.state = HealthState.Responsive;
			record.consecutiveFailures = 0;
			record.responsesDueAt.clear();
		}
	}

	/** Returns whether an endpoint may get requests. */
	isResponsive(endpoint: string): boolean {
		return this.#records.get(endpoint)?.state !== HealthState.Unresponsive;
	}

	/** Returns whether an endpoint gets no requests because it sent nothing when a response was due. */
	isSilent(endpoint: string): boolean {
		const record = this.#records.get(endpoint);
		return record?.state === HealthState.Unresponsive && record.suspicion === Suspicion.Silence;
	}

	/** Returns the moving average of failures, from 0 to 1. */
	failureRate(endpoint: string): number {
		return this.#records.get(endpoint)?.failureRate ?? 0;
	}

	/** Returns when an endpoint last sent data to this VM; `-Infinity` if never. */
	lastReceivedAt(endpoint: string): number {
		return this.#records.get(endpoint)?.lastReceivedAt ?? -Infinity;
	}

	/** Removes endpoints that are no longer listed and of which no response is due. */
	retain(listed: ReadonlySet<string>): void {
		for (const [endpoint, record] of this.#records) {
			if (!listed.has(endpoint) && record.responsesDueAt.size === 0) {
				this.#records.delete(endpoint);
			}
		}
	}

	#isSilent(record: EndpointRecord, lastReceivedByOthers: number, now: number): boolean {
		const lastReceivedAt = Math.max(record.lastReceivedAt, lastReceivedByOthers);
		for (const dueAt of record.responsesDueAt.values()) {
			const silentSince = Math.max(dueAt, lastReceivedAt);
			if (now - silentSince >= this.options.silenceTimeoutMs
				&& this.#blockedTimes.computeUnblockedMs(silentSince, now) >= this.options.silenceTimeoutMs) {
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
			state: HealthState.Responsive,
			suspicion: Suspicion.Silence,
			lastReceivedAt: -Infinity,
			responsesDueAt: new Map(),
			consecutiveFailures: 0,
			failureRate: 0,
			checkedAt: -Infinity,
		};
		this.#records.set(endpoint, record);
		return record;
	}
}

/** Makes a check of an endpoint due at once. */
function suspect(record: EndpointRecord, suspicion: Suspicion): void {
	record.state = HealthState.Suspected;
	record.suspicion = suspicion;
	record.checkedAt = -Infinity;
}

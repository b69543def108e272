import * as timers from 'node:timers/promises';
import * as core from '@bluebellmast/core';

/** How the wait of a request ended. */
export enum WaitOutcome {
	/** An endpoint has capacity; the request is sent immediately. */
	CapacityAvailable = 'room',
	/** No endpoint is left to wait for. */
	NoEndpoint = 'no_endpoint',
	/** The maximum wait has elapsed. */
	Expired = 'expired',
	/** The request cancelled the wait. */
	Cancelled = 'cancelled',
}

/** A request that waits for capacity at an endpoint. */
export type QueuedRequest = core.fleet.WaitingRequest & {
	/** Name of the endpoints that the request waits for; requests with the same name wait for one another. */
	readonly pool?: string;
	/** When the wait expires, in milliseconds of the monotonic clock. */
	readonly expiresAt: number;
	/**
	 * Returns when the wait expires now that its time has elapsed, in milliseconds of the monotonic clock; `undefined` if it is not extended.
	 * Waits are not extended by default.
	 */
	readonly extend?: (now: number) => number | undefined;
	/** Returns whether no other request for the same endpoints finds capacity either, after one has found none. */
	readonly isPoolHeld?: () => boolean;
	/**
	 * Returns whether an endpoint has capacity now, or `undefined` if none is left to wait for.
	 *
	 * @param isExpiring - Whether the wait ends if there is no capacity.
	 */
	readonly hasCapacity: (isExpiring: boolean) => boolean | undefined;
};

type QueueEntry = {
	readonly request: QueuedRequest;
	expiresAt: number;
	readonly end: (outcome: WaitOutcome) => void;
};

/** Interval between two checks for capacity, in milliseconds: about the duration of one step of an engine. */
const checkIntervalMs = 20;
/** Requests that are released at one check, so that the VMs do not overfill one engine before they learn of each other's load. */
const maxReleasedPerCheck = 2;
/** Requests for which capacity is sought at one check; bounds the processor time of a check. */
const maxCheckedPerCheck = 24;
/** Number of queued requests at which the queue is full; bounds its memory and the processor time of sorting it. */
const maxQueued = 4096;

/** Queues requests while no endpoint has capacity for them, and releases them in order of precedence. */
export class RequestQueue {
	readonly #entries = new Set<QueueEntry>();
	#isCheckScheduled = false;

	/** @param schedule - Runs a function after a time in milliseconds. */
	constructor(
		private readonly monotonicNow: () => number,
		private readonly schedule: (run: () => void, ms: number) => unknown = setTimeout,
	) {}

	/** Number of queued requests. */
	get size(): number {
		return this.#entries.size;
	}

	/** Whether the queue accepts no further request. */
	get isFull(): boolean {
		return this.#entries.size >= maxQueued;
	}

	/** Returns the number of prompt tokens of the queued requests for the same endpoints that take precedence over a new one. */
	countTokensAhead(request: core.fleet.WaitingRequest, pool?: string): number {
		const now = this.monotonicNow();
		let tokens = 0;
		for (const {request: queued} of this.#entries) {
			const isAhead = queued.pool === pool && core.fleet.compareWaitingRequests(queued, request, now) <= 0;
			tokens += isAhead ? queued.prefillTokens : 0;
		}

		return tokens;
	}

	/** Queues a request. @returns The outcome of the wait, and a function that cancels it. */
	wait(request: QueuedRequest): {readonly ended: Promise<WaitOutcome>; readonly cancel: () => void} {
		let cancel = (): void => undefined;
		const ended = new Promise<WaitOutcome>(resolve => {
			const entry: QueueEntry = {
				request,
				expiresAt: request.expiresAt,
				end: outcome => {
					this.#entries.delete(entry);
					resolve(outcome);
				},
			};
			this.#entries.add(entry);
			cancel = () => {
				entry.end(WaitOutcome.Cancelled);
			};
		});
		this.#scheduleCheck();
		return {ended, cancel};
	}

	#scheduleCheck(): void {
		if (this.#entries.size > 0 && !this.#isCheckScheduled) {
			this.#isCheckScheduled = true;
			this.schedule(() => {
				void this.#check();
			}, checkIntervalMs);
		}
	}

	async #check(): Promise<void> {
		try {
			// Timers run before sockets are read. What has arrived while the event loop was blocked may free capacity.
			await timers.setImmediate();
			await this.#checkEntries();
		} finally {
			this.#isCheckScheduled = false;
			this.#scheduleCheck();
		}
	}

	async #checkEntries(): Promise<void> {
		const now = this.monotonicNow();
		const sorted = [...this.#entries].sort((a, b) => core.fleet.compareWaitingRequests(a.request, b.request, now));
		const expiring = sorted.filter(entry => !this.#extend(entry, now));
		const releasedCount = await this.#releaseExpiring(expiring);
		const expiringSet = new Set(expiring);
		await this.#release(sorted.filter(entry => !expiringSet.has(entry)), maxReleasedPerCheck - releasedCount);
	}

	/** Returns whether the wait of an entry goes on at least until the next check. */
	#extend(entry: QueueEntry, now: number): boolean {
		if (entry.expiresAt <= now) {
			entry.expiresAt = entry.request.extend?.(now) ?? entry.expiresAt;
		}

		return entry.expiresAt > now;
	}

	/** Offers capacity to entries that expire, and ends the others of them. @returns The number of released entries. */
	async #releaseExpiring(entries: readonly QueueEntry[]): Promise<number> {
		let releasedCount = 0;
		for (const entry of entries) {
			if (releasedCount === maxReleasedPerCheck) {
				break;
			}

			const outcome = this.#seek(entry, true);
			entry.end(outcome ?? WaitOutcome.Expired);
			if (outcome === WaitOutcome.CapacityAvailable) {
				releasedCount += 1;
				await timers.setImmediate(); // eslint-disable-line no-await-in-loop -- Requests are released in turn.
			}
		}

		return releasedCount;
	}

	/** Releases entries for which there is capacity. */
	async #release(entries: readonly QueueEntry[], maxCount: number): Promise<void> {
		let released = 0;
		let checked = 0;
		const heldPools = new Set<string | undefined>();
		for (const entry of entries) {
			if (released >= maxCount || checked === maxCheckedPerCheck) {
				return;
			}

			if (!this.#entries.has(entry) || heldPools.has(entry.request.pool)) {
				continue;
			}

			checked += 1;
			const outcome = this.#seek(entry, false);
			if (outcome !== undefined) {
				entry.end(outcome);
			} else if (entry.request.isPoolHeld?.() === true) {
				heldPools.add(entry.request.pool);
			}

			if (outcome === WaitOutcome.CapacityAvailable) {
				released += 1;
				// The request is sent before capacity is sought for the next one.
				await timers.setImmediate(); // eslint-disable-line no-await-in-loop -- Requests are released in turn.
			}
		}
	}

	/** Seeks capacity for an entry. @returns How its wait ends; `undefined` if there is no capacity. */
	#seek(entry: QueueEntry, isExpiring: boolean): WaitOutcome | undefined {
		if (!this.#entries.has(entry)) {
			return WaitOutcome.Cancelled;
		}

		const hasCapacity = entry.request.hasCapacity(isExpiring);
		if (hasCapacity === undefined) {
			return WaitOutcome.NoEndpoint;
		}

		return hasCapacity ? WaitOutcome.CapacityAvailable : undefined;
	}
}

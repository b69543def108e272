import * as timers from 'node:timers/promises';
import * as core from '@bluebellmast/core';
import * as clients from '@bluebellmast/kv';

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
	readonly pool: core.routing.PoolName;
	/** When the wait expires, in milliseconds of the monotonic clock. */
	readonly expiresAt: number;
	/** Returns whether an endpoint has capacity now, or `undefined` if none is left to wait for. */
	readonly hasCapacity: () => boolean | undefined;
};

type QueueEntry = {
	readonly request: QueuedRequest;
	readonly end: (outcome: WaitOutcome) => void;
};

/** Interval between two checks for capacity, in milliseconds: about the duration of one step of an engine. */
const checkIntervalMs = 20;
/** Requests that are released at one check, so that the VMs do not overfill one engine before they learn of each other's load. */
const maxReleasedPerCheck = 2;
/** Requests for which capacity is sought at one check; bounds the processor time of a check. */
const maxCheckedPerCheck = 24;

/** Queues requests while no endpoint has capacity for them, and releases them in order of precedence. */
export class RequestQueue {
	readonly #entries = new Set<QueueEntry>();
	#timer: NodeJS.Timeout | undefined;

	constructor(private readonly monotonicNow: () => number) {}

	/** Number of queued requests. */
	get size(): number {
		return this.#entries.size;
	}

	/** Returns the number of prompt tokens of the queued requests that take precedence over a new one. */
	countTokensAhead(request: core.fleet.WaitingRequest): number {
		const now = this.monotonicNow();
		let tokens = 0;
		for (const {request: queued} of this.#entries) {
			tokens += core.fleet.compareWaitingRequests(queued, request, now) <= 0 ? queued.prefillTokens : 0;
		}

		return tokens;
	}

	/** Returns the number of queued requests of a pool that take precedence over a new one. */
	countAhead(request: core.fleet.WaitingRequest, pool: core.routing.PoolName): number {
		const now = this.monotonicNow();
		return [...this.#entries].filter(({request: queued}) => queued.pool === pool && core.fleet.compareWaitingRequests(queued, request, now) <= 0).length;
	}

	/** Queues a request. @returns The outcome of the wait, and a function that cancels it. */
	wait(request: QueuedRequest): {readonly ended: Promise<WaitOutcome>; readonly cancel: () => void} {
		let cancel = (): void => undefined;
		const ended = new Promise<WaitOutcome>(resolve => {
			const entry: QueueEntry = {
				request,
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
		if (this.#entries.size > 0) {
			this.#timer ??= setTimeout(() => {
				void this.#check();
			}, checkIntervalMs);
		}
	}

	async #check(): Promise<void> {
		try {
			// What has arrived while the event loop was blocked may free capacity.
			await clients.timeouts.waitForInput();
			await this.#releaseEntries();
			this.#endExpired();
		} finally {
			this.#timer = undefined;
			this.#scheduleCheck();
		}
	}

	/** Ends the waits that have expired; capacity was sought for them before. */
	#endExpired(): void {
		const now = this.monotonicNow();
		for (const entry of this.#entries) {
			if (entry.request.expiresAt <= now) {
				entry.end(WaitOutcome.Expired);
			}
		}
	}

	async #releaseEntries(): Promise<void> {
		const now = this.monotonicNow();
		const sortedEntries = [...this.#entries].sort((a, b) => core.fleet.compareWaitingRequests(a.request, b.request, now));
		let released = 0;
		for (const entry of sortedEntries.slice(0, maxCheckedPerCheck)) {
			if (released === maxReleasedPerCheck) {
				return;
			}

			const hasCapacity = this.#entries.has(entry) ? entry.request.hasCapacity() : false;
			if (hasCapacity === undefined) {
				entry.end(WaitOutcome.NoEndpoint);
			} else if (hasCapacity) {
				released += 1;
				entry.end(WaitOutcome.CapacityAvailable);
				// The request is sent before capacity is sought for the next one.
				await timers.setImmediate(); // eslint-disable-line no-await-in-loop -- Requests are released in turn.
			}
		}
	}
}

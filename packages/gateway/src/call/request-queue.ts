import * as core from '@bluebellmast/core';

/** How a wait ended. */
export enum WaitOutcome {
	/** There is room at an endpoint, which the request takes at once. */
	CapacityAvailable = 'room',
	/** The request waited for as long as it may. */
	Expired = 'expired',
	/** The wait was given up by the request. */
	Cancelled = 'cancelled',
}

/** A request that waits for room at an endpoint. */
export type QueuedRequest = core.fleet.WaitingRequest & {
	/** When the wait ends without room, in steady milliseconds. */
	readonly expiresAt: number;
	/** Asks whether there is room now. */
	readonly hasCapacity: () => boolean;
};

type QueueEntry = {
	readonly request: QueuedRequest;
	readonly outcome: (end: WaitOutcome) => void;
};

/** Pause between looks for room, in milliseconds: about the time of one step of an engine. */
const checkIntervalMs = 20;
/** Requests that are let go at one look, so that not all VMs fill the same engine before they know of each other. */
const maxReleasedPerCheck = 2;
/** Requests that are asked at one look, which bounds its processor time. */
const maxCheckedPerCheck = 24;

/** Holds requests while no endpoint has room for them, and lets them go in order of their worth. */
export class RequestQueue {
	readonly #entries = new Set<QueueEntry>();
	#timer: NodeJS.Timeout | undefined;

	constructor(private readonly monotonicNow: () => number) {}

	/** Requests that wait. */
	get size(): number {
		return this.#entries.size;
	}

	/** Prompt tokens of the waiting requests that go before a new one. */
	countTokensAhead(request: core.fleet.WaitingRequest): number {
		const now = this.monotonicNow();
		let tokens = 0;
		for (const {request: waiter} of this.#entries) {
			tokens += core.fleet.compareWaitingRequests(waiter, request, now) <= 0 ? waiter.prefillTokens : 0;
		}

		return tokens;
	}

	/** Waits for room. @returns The end of the wait, and a function that gives it up. */
	wait(request: QueuedRequest): {readonly ended: Promise<WaitOutcome>; readonly cancel: () => void} {
		let cancel = (): void => undefined;
		const ended = new Promise<WaitOutcome>(resolve => {
			const entry: QueueEntry = {
				request,
				outcome: end => {
					this.#entries.delete(entry);
					resolve(end);
				},
			};
			this.#entries.add(entry);
			cancel = () => {
				entry.outcome(WaitOutcome.Cancelled);
			};
		});
		this.#scheduleCheck();
		return {ended, cancel};
	}

	#scheduleCheck(): void {
		if (this.#entries.size > 0) {
			this.#timer ??= setTimeout(() => {
				this.#timer = undefined;
				this.#checkEntries();
				this.#scheduleCheck();
			}, checkIntervalMs);
		}
	}

	#checkEntries(): void {
		const now = this.monotonicNow();
		for (const waiting of this.#entries) {
			if (waiting.request.expiresAt <= now) {
				waiting.outcome(WaitOutcome.Expired);
			}
		}

		const sortedEntries = [...this.#entries].sort((a, b) => core.fleet.compareWaitingRequests(a.request, b.request, now));
		let released = 0;
		for (const waiting of sortedEntries.slice(0, maxCheckedPerCheck)) {
			if (released < maxReleasedPerCheck && waiting.request.hasCapacity()) {
				released += 1;
				waiting.outcome(WaitOutcome.CapacityAvailable);
			}
		}
	}
}

import * as core from '@bluebellmast/core';

/** How a wait ended. */
export enum WaitEnd {
	/** There is room at an endpoint, which the request takes at once. */
	Room = 'room',
	/** The request waited for as long as it may. */
	Expired = 'expired',
	/** The wait was given up by the request. */
	Cancelled = 'cancelled',
}

/** A request that waits for room at an endpoint. */
export type Waiter = core.fleet.WaitingRequest & {
	/** When the wait ends without room, in steady milliseconds. */
	readonly expiresAt: number;
	/** Asks whether there is room now. */
	readonly hasRoom: () => boolean;
};

type Waiting = {
	readonly waiter: Waiter;
	readonly end: (end: WaitEnd) => void;
};

/** Pause between looks for room, in milliseconds: about the time of one step of an engine. */
const lookEveryMs = 20;
/** Requests that are let go at one look, so that not all VMs fill the same engine before they know of each other. */
const maxReleased = 2;
/** Requests that are asked at one look, which bounds its processor time. */
const maxAsked = 24;

/** Holds requests while no endpoint has room for them, and lets them go in order of their worth. */
export class WaitingRoom {
	readonly #waiting = new Set<Waiting>();
	#timer: NodeJS.Timeout | undefined;

	constructor(private readonly steadyNow: () => number) {}

	/** Requests that wait. */
	get size(): number {
		return this.#waiting.size;
	}

	/** Prompt tokens of the waiting requests that go before a new one. */
	tokensAhead(request: core.fleet.WaitingRequest): number {
		const now = this.steadyNow();
		let tokens = 0;
		for (const {waiter} of this.#waiting) {
			tokens += core.fleet.compareWaitingRequests(waiter, request, now) <= 0 ? waiter.prefillTokens : 0;
		}

		return tokens;
	}

	/** Waits for room. @returns The end of the wait, and a function that gives it up. */
	wait(waiter: Waiter): {readonly ended: Promise<WaitEnd>; readonly cancel: () => void} {
		let cancel = (): void => undefined;
		const ended = new Promise<WaitEnd>(resolve => {
			const waiting: Waiting = {
				waiter,
				end: end => {
					this.#waiting.delete(waiting);
					resolve(end);
				},
			};
			this.#waiting.add(waiting);
			cancel = () => {
				waiting.end(WaitEnd.Cancelled);
			};
		});
		this.#schedule();
		return {ended, cancel};
	}

	#schedule(): void {
		if (this.#waiting.size > 0) {
			this.#timer ??= setTimeout(() => {
				this.#timer = undefined;
				this.#look();
				this.#schedule();
			}, lookEveryMs);
		}
	}

	#look(): void {
		const now = this.steadyNow();
		for (const waiting of this.#waiting) {
			if (waiting.waiter.expiresAt <= now) {
				waiting.end(WaitEnd.Expired);
			}
		}

		const inOrder = [...this.#waiting].sort((a, b) => core.fleet.compareWaitingRequests(a.waiter, b.waiter, now));
		let released = 0;
		for (const waiting of inOrder.slice(0, maxAsked)) {
			if (released < maxReleased && waiting.waiter.hasRoom()) {
				released += 1;
				waiting.end(WaitEnd.Room);
			}
		}
	}
}

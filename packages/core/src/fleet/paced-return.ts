/** Longest time over which waiting requests are spread, in milliseconds. */
const maxSpanMs = 2000;
/** Time over which waiting requests are spread, as a share of the time that the pool had no endpoint. */
const spanShare = 0.25;

/** What waits when a pool has an endpoint again. */
export type ReturnConditions = {
	/** Number of requests of this VM that wait for the pool. */
	readonly waitingCount: number;
	/** How long the pool had no endpoint, in milliseconds. */
	readonly gapMs: number;
	/** A random number from 0 (inclusive) to 1 (exclusive), so that the VMs do not begin together. */
	readonly random: number;
};

/**
 * Spreads the requests that waited for a pool, and those that arrive meanwhile, evenly over a part of the time that the pool had no endpoint. Each VM
 * begins at a random place, so that the VMs together send no more at the first moment than at any other.
 */
export class PacedReturn {
	readonly #endsAt: number;
	readonly #intervalMs: number;
	#nextAt: number;

	constructor({waitingCount, gapMs, random}: ReturnConditions, now: number) {
		const spanMs = Math.min(gapMs * spanShare, maxSpanMs);
		const arrivingCount = waitingCount * spanMs / Math.max(gapMs, 1);
		this.#endsAt = now + spanMs;
		this.#intervalMs = spanMs / Math.max(1, waitingCount + arrivingCount);
		this.#nextAt = now + (random * this.#intervalMs);
	}

	/** Returns whether the spread is over. */
	hasEnded(now: number): boolean {
		return now >= this.#endsAt;
	}

	/** Returns whether a request may be sent now. */
	maySend(now: number): boolean {
		return now >= this.#nextAt || this.hasEnded(now);
	}

	/** Records that a request is sent. */
	recordSent(): void {
		this.#nextAt += this.#intervalMs;
	}
}

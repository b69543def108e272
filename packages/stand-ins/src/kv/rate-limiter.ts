const millisecondsPerSecond = 1000;

/** Token bucket with a capacity of one second's calls. */
export class RateLimiter {
	#tokens: number;
	#updatedAt: number;

	constructor(private readonly callsPerSecond: number, now: number) {
		this.#tokens = callsPerSecond;
		this.#updatedAt = now;
	}

	/** Takes a token; returns false when none is left. */
	tryTake(now: number): boolean {
		const refill = (now - this.#updatedAt) * this.callsPerSecond / millisecondsPerSecond;
		this.#tokens = Math.min(this.callsPerSecond, this.#tokens + refill);
		this.#updatedAt = now;
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens -= 1;
		return true;
	}
}

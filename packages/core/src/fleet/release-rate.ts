/** Time for which requests must have waited until the rate is known, in milliseconds. */
const minMeasuredMs = 500;
/** Time after which earlier releases count by half, in milliseconds. */
const windowMs = 2000;

/** Measures at which rate the requests of a queue are released, while there is a queue. */
export class ReleaseRate {
	#startedAt: number | undefined;
	#tokens = 0;

	/** Records that a request begins to wait. */
	recordWaiting(now: number): void {
		this.#startedAt ??= now;
	}

	/** Records that a request with a number of prompt tokens is released. */
	recordRelease(tokens: number, now: number): void {
		this.#startedAt ??= now;
		this.#tokens += tokens;
		if (now - this.#startedAt > windowMs) {
			this.#startedAt = (this.#startedAt + now) / 2;
			this.#tokens /= 2;
		}
	}

	/** Records that no request waits any more. */
	recordEmpty(): void {
		this.#startedAt = undefined;
		this.#tokens = 0;
	}

	/** Returns the rate in prompt tokens per millisecond; `Infinity` if it is not known. */
	tokensPerMs(now: number): number {
		const measuredMs = now - (this.#startedAt ?? now);
		return measuredMs < minMeasuredMs || this.#tokens === 0 ? Infinity : this.#tokens / measuredMs;
	}
}

/** Times of an answer, in milliseconds; absent where nothing arrived. */
export type ResponseTimes = {
	/** From the arrival of the request to the first part of its answer. */
	readonly firstMs?: number;
	/** Longest pause between two parts. */
	readonly maxGapMs?: number;
};

/** Measures when the parts of an answer arrive. */
export class ResponseTimer {
	#firstAt: number | undefined;
	#lastAt = 0;
	#maxGapMs = 0;

	/** Notes a part of the answer. */
	recordPart(now: number): void {
		if (this.#firstAt === undefined) {
			this.#firstAt = now;
		} else {
			this.#maxGapMs = Math.max(this.#maxGapMs, now - this.#lastAt);
		}

		this.#lastAt = now;
	}

	/** Returns the times, counted from the arrival of the request. */
	getTimes(arrivedAt: number): ResponseTimes {
		return this.#firstAt === undefined
			? {}
			: {firstMs: Math.round(this.#firstAt - arrivedAt), maxGapMs: Math.round(this.#maxGapMs)};
	}
}

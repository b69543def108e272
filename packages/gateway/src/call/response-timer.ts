/** Times of a response, in milliseconds; absent if nothing arrived. */
export type ResponseTimes = {
	/** From the arrival of the request to the first part of its response. */
	readonly firstMs?: number;
	/** Longest interval between two consecutive parts. */
	readonly maxGapMs?: number;
};

/** Measures when the parts of a response arrive; a part is the head of a response or a chunk of its body. */
export class ResponseTimer {
	#firstAt: number | undefined;
	#lastAt = 0;
	#maxGapMs = 0;

	/** Records the arrival of a part of the response. */
	recordPart(now: number): void {
		if (this.#firstAt === undefined) {
			this.#firstAt = now;
		} else {
			this.#maxGapMs = Math.max(this.#maxGapMs, now - this.#lastAt);
		}

		this.#lastAt = now;
	}

	/** Returns the times of the response to a request that arrived at the given time. */
	getTimes(arrivedAt: number): ResponseTimes {
		return this.#firstAt === undefined
			? {}
			: {firstMs: Math.round(this.#firstAt - arrivedAt), maxGapMs: Math.round(this.#maxGapMs)};
	}
}

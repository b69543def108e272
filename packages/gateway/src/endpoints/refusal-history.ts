/** Refused requests that are remembered for each connection; with more, it is no longer used. */
const maxRefusals = 64;

/** The requests that were refused on a connection. A faulty endpoint may send an earlier refusal once more where the next response is due. */
export class RefusalHistory {
	readonly #requestIds = new Set<string>();
	#count = 0;
	#hasUnidentified = false;

	/** Whether a later refusal on the connection could not be distinguished from an earlier one. */
	get isExhausted(): boolean {
		return this.#hasUnidentified || this.#count >= maxRefusals;
	}

	/** Records a refusal. @param requestId - As stated by the response; absent if it states none. */
	record(requestId: string | undefined): void {
		this.#count += 1;
		if (requestId === undefined) {
			this.#hasUnidentified = true;
		} else {
			this.#requestIds.add(requestId);
		}
	}

	/** Returns whether a refusal may be an earlier one. @param requestId - As stated by the response. */
	mayRepeat(requestId: string | undefined): boolean {
		return requestId === undefined ? this.#count > 0 : this.#requestIds.has(requestId);
	}
}

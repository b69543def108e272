/** A response whose caller doesn't read at present. */
type UnreadResponse = {
	readonly bytes: number;
	/** Ends the response, as others need the memory. */
	readonly evict: () => void;
};

/**
 * Memory for the parts of all responses together that are kept until they are complete, or until their callers read on. Endpoints are not read meanwhile, so that it grows with
 * the number of responses.
 */
export class ResponseMemory {
	#bufferedBytes = 0;
	#unreadBytes = 0;
	/** In the order in which their callers stopped reading. */
	readonly #unread = new Map<unknown, UnreadResponse>();

	/** @param maxBytes - Size of all parts together. */
	constructor(readonly maxBytes = Infinity) {}

	/** Memory that is used, in bytes. */
	get usedBytes(): number {
		return this.#bufferedBytes + this.#unreadBytes;
	}

	/** Changes how much is kept of responses that are not complete. @returns Whether that may be kept; otherwise a response is to be relayed as far as it has arrived. */
	changeBuffered(bytes: number): boolean {
		this.#bufferedBytes += bytes;
		return this.usedBytes <= this.maxBytes;
	}

	/** Records a response whose caller has stopped reading; ends those whose callers stopped first if all take too much. @param owner - Identifies the response. */
	addUnread(owner: unknown, response: UnreadResponse): void {
		this.removeUnread(owner);
		this.#unread.set(owner, response);
		this.#unreadBytes += response.bytes;
		while (this.usedBytes > this.maxBytes && this.#unread.size > 0) {
			const [[oldest, {evict}]] = this.#unread as unknown as [[unknown, UnreadResponse]];
			this.removeUnread(oldest);
			evict();
		}
	}

	/** Records that a caller reads on, or that its response has ended. */
	removeUnread(owner: unknown): void {
		this.#unreadBytes -= this.#unread.get(owner)?.bytes ?? 0;
		this.#unread.delete(owner);
	}
}

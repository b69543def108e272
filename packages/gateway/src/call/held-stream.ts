import * as eventSplitter from './event-splitter.js';
import * as heldResponse from './held-response.js';
import * as responseRelay from './response-relay.js';

/** A stream that is not relayed yet, since it is taken over only with a complete event. */
export class HeldStream extends heldResponse.HeldResponse {
	readonly #splitter = new eventSplitter.EventSplitter();

	/** Whether the stream ends with an incomplete event. */
	get hasIncompleteEvent(): boolean {
		return this.#splitter.pendingBytes > 0;
	}

	/** Whether the incomplete event is larger than any sound one. */
	get isEventTooLarge(): boolean {
		return this.#splitter.pendingBytes > responseRelay.maxEventBytes;
	}

	/** Appends a chunk of the body. @returns The events that are now complete, or `undefined` if there are none. */
	pushEvents(chunk: Uint8Array): eventSplitter.EventBatch | undefined {
		this.push(chunk);
		return this.#splitter.push(chunk);
	}
}

import type * as endpoints from '../endpoints/index.js';
import type * as ports from '../ports/index.js';
import * as eventSplitter from './event-splitter.js';
import * as responseRelay from './response-relay.js';

/** The response of a replacement that is not relayed yet, since a stream is taken over only with a complete event. */
export class HeldResponse {
	readonly #splitter = new eventSplitter.EventSplitter();
	readonly #chunks: Uint8Array[] = [];

	constructor(readonly head: ports.ResponseHead, private readonly raw: endpoints.RawResponse) {}

	/** Whether the response ends with an incomplete event. */
	get hasIncompleteEvent(): boolean {
		return this.#splitter.pendingBytes > 0;
	}

	/** Whether the incomplete event is larger than any sound one. */
	get isEventTooLarge(): boolean {
		return this.#splitter.pendingBytes > responseRelay.maxEventBytes;
	}

	/** Appends a chunk of the body. @returns The events that are now complete, or `undefined` if there are none. */
	push(chunk: Uint8Array): eventSplitter.EventBatch | undefined {
		this.#chunks.push(chunk);
		return this.#splitter.push(chunk);
	}

	/** Relays what has arrived. */
	relayTo(relay: responseRelay.ResponseRelay): void {
		relay.onHead(this.head, this.raw);
		for (const chunk of this.#chunks) {
			relay.onData(chunk);
		}
	}
}

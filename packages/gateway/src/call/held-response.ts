import type * as endpoints from '../endpoints/index.js';
import type * as ports from '../ports/index.js';
import type * as responseRelay from './response-relay.js';

/** What has arrived of a response that is not relayed, or not yet. */
export class HeldResponse {
	readonly #chunks: Uint8Array[] = [];

	constructor(readonly head: ports.ResponseHead, private readonly raw: endpoints.RawResponse) {}

	/** Appends a chunk of the body. */
	push(chunk: Uint8Array): void {
		this.#chunks.push(chunk);
	}

	/** Relays what has arrived. */
	relayTo(relay: responseRelay.ResponseRelay): void {
		relay.onHead(this.head, this.raw);
		for (const chunk of this.#chunks) {
			relay.onData(chunk);
		}
	}
}

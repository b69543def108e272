import type * as endpoints from '../endpoints/index.js';
import type * as ports from '../ports/index.js';
import * as byteAccumulator from '../util/byte-accumulator.js';
import type * as responseRelay from './response-relay.js';

/** What has arrived of a response that is not relayed, or not yet. */
export class HeldResponse {
	readonly #body = new byteAccumulator.ByteAccumulator();

	constructor(readonly head: ports.ResponseHead, private readonly raw: endpoints.RawResponse) {}

	/** Appends a chunk of the body. */
	push(chunk: Uint8Array): void {
		this.#body.push(chunk);
	}

	/** Relays what has arrived. */
	relayTo(relay: responseRelay.ResponseRelay): void {
		relay.onHead(this.head, this.raw);
		if (this.#body.length > 0) {
			relay.onData(this.#body.take());
		}
	}
}

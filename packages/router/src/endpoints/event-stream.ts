import * as eventsourceParser from 'eventsource-parser';

/** One server-sent event. */
export type StreamEvent = {
	/** Value of the `id` field; empty if there is none. */
	readonly id: string;
	readonly data: string;
};

/**
 * Reads server-sent events from a response body. Stopping the iteration destroys the body.
 *
 * @param body - Chunks of UTF-8 text, split at any byte.
 */
export async function * readEventStream(body: AsyncIterable<Uint8Array>): AsyncGenerator<StreamEvent, void, undefined> {
	const decoder = new TextDecoder();
	const pending: StreamEvent[] = [];
	const parser = eventsourceParser.createParser({
		onEvent(event) {
			pending.push({id: event.id ?? '', data: event.data});
		},
	});
	for await (const chunk of body) {
		parser.feed(decoder.decode(chunk, {stream: true}));
		yield * pending;
		pending.length = 0;
	}
}

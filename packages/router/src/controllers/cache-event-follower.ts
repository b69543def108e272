import type * as core from '@bluebellmast/core';
import type * as wire from '@bluebellmast/wire';
import type * as undici from 'undici';
import * as eventStream from '../endpoints/event-stream.js';
import * as endpointOrigin from '../endpoints/endpoint-origin.js';
import * as progressTimer from '../endpoints/progress-timer.js';

/** What a follower works with. */
export type CacheEventFollowerOptions = {
	readonly endpoint: core.model.Endpoint;
	readonly dispatcher: () => undici.Dispatcher;
	/** Milliseconds without a byte after which the connection is replaced. Engines send comment lines in between. */
	readonly progressTimeoutMs: number;
	/** Milliseconds between an end of the connection and the next try. */
	readonly reconnectMs: number;
	/** Sequence of the last event that was applied, absent when there is none. */
	readonly lastSequence: () => number | undefined;
	readonly onEvent: (event: wire.endpoint.CacheEvent) => void;
	/** Told of each end of a connection. */
	readonly onEnd: () => void;
};

/** Follows the cache events of one engine until it is stopped; replaces a connection that ended or went silent. */
export class CacheEventFollower {
	readonly #options: CacheEventFollowerOptions;
	#current: progressTimer.ProgressTimer | undefined;
	#stopConnection: (() => void) | undefined;
	#reconnect: NodeJS.Timeout | undefined;
	#isStopped = false;

	constructor(options: CacheEventFollowerOptions) {
		this.#options = options;
	}

	/** Connects. */
	start(): void {
		void this.#follow();
	}

	/** Ends the connection for good. */
	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#reconnect);
		this.#current?.stop();
		this.#stopConnection?.();
	}

	async #follow(): Promise<void> {
		const {progressTimeoutMs, reconnectMs, onEnd} = this.#options;
		const timer = new progressTimer.ProgressTimer(progressTimeoutMs, progressTimeoutMs);
		this.#current = timer;
		try {
			await this.#read(timer);
		} catch {
			// The next connection goes on after the last event; a gap shows in the sequence.
		}

		timer.stop();
		if (this.#isStopped) {
			return;
		}

		onEnd();
		this.#reconnect = setTimeout(() => {
			void this.#follow();
		}, reconnectMs);
	}

	async #read(timer: progressTimer.ProgressTimer): Promise<void> {
		const stopped = new AbortController();
		this.#stopConnection = () => {
			stopped.abort();
		};

		const last = this.#options.lastSequence();
		const res = await this.#options.dispatcher().request({
			origin: endpointOrigin.endpointOrigin(this.#options.endpoint),
			path: '/v1/cache-events',
			method: 'GET',
			headers: last === undefined ? {} : {'last-event-id': String(last)},
			signal: AbortSignal.any([timer.signal, stopped.signal]),
		});
		if (res.statusCode !== 200) {
			await res.body.dump();
			return;
		}

		for await (const event of eventStream.readEventStream(touchOnProgress(res.body, timer))) {
			this.#options.onEvent(JSON.parse(event.data) as wire.endpoint.CacheEvent);
		}
	}
}

async function * touchOnProgress(body: AsyncIterable<Uint8Array>, timer: progressTimer.ProgressTimer): AsyncGenerator<Uint8Array> {
	for await (const chunk of body) {
		timer.restart();
		yield chunk;
	}
}

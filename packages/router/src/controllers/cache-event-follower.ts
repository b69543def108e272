import type * as core from '@bluebellmast/core';
import type * as wire from '@bluebellmast/wire';
import type * as undici from 'undici';
import * as eventStream from '../endpoints/event-stream.js';
import * as endpointOrigin from '../endpoints/endpoint-origin.js';
import * as progressTimer from '../endpoints/progress-timer.js';

/** Options of a follower. */
export type CacheEventFollowerOptions = {
	readonly endpoint: core.model.Endpoint;
	readonly dispatcher: () => undici.Dispatcher;
	/** Milliseconds without received data after which the connection is replaced. Idle engines send comment lines as keep-alives. */
	readonly progressTimeoutMs: number;
	/** Milliseconds between the end of a connection and the next connection attempt. */
	readonly reconnectDelayMs: number;
	/** Returns the sequence number of the last applied event, or `undefined` if there is none. */
	readonly lastSequence: () => number | undefined;
	readonly onEvent: (event: wire.endpoint.CacheEvent) => void;
	/** Called when a connection has ended, except after `stop`. */
	readonly onDisconnect: () => void;
};

/** Subscribes to the cache events of one engine until it is stopped; reconnects when the connection ends or is silent. */
export class CacheEventFollower {
	readonly #options: CacheEventFollowerOptions;
	#progressTimer: progressTimer.ProgressTimer | undefined;
	#stopConnection: (() => void) | undefined;
	#reconnectTimer: NodeJS.Timeout | undefined;
	#isStopped = false;

	constructor(options: CacheEventFollowerOptions) {
		this.#options = options;
	}

	start(): void {
		void this.#follow();
	}

	/** Closes the connection without reconnecting. */
	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#reconnectTimer);
		this.#progressTimer?.stop();
		this.#stopConnection?.();
	}

	async #follow(): Promise<void> {
		const {progressTimeoutMs, reconnectDelayMs, onDisconnect} = this.#options;
		const timer = new progressTimer.ProgressTimer(progressTimeoutMs, progressTimeoutMs);
		this.#progressTimer = timer;
		try {
			await this.#readEvents(timer);
		} catch {
			// The next connection resumes after the last applied event; a gap is visible in the sequence numbers.
		}

		timer.stop();
		if (this.#isStopped) {
			return;
		}

		onDisconnect();
		this.#reconnectTimer = setTimeout(() => {
			void this.#follow();
		}, reconnectDelayMs);
	}

	async #readEvents(timer: progressTimer.ProgressTimer): Promise<void> {
		const stopController = new AbortController();
		this.#stopConnection = () => {
			stopController.abort();
		};

		const lastSequence = this.#options.lastSequence();
		const res = await this.#options.dispatcher().request({
			origin: endpointOrigin.endpointOrigin(this.#options.endpoint),
			path: '/v1/cache-events',
			method: 'GET',
			headers: lastSequence === undefined ? {} : {'last-event-id': String(lastSequence)},
			signal: AbortSignal.any([timer.signal, stopController.signal]),
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

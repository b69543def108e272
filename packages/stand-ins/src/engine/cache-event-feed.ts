import type * as http from 'node:http';
import * as wire from '@bluebellmast/wire';
import type * as fault from '../fault/index.js';
import type * as util from '../util/index.js';
import type * as engineOptions from './engine-options.js';
import type * as prefixCache from './prefix-cache.js';

/** Server-sent stream of cache events. Every event is delayed and some are dropped; a dropped event still uses a sequence number. */
export class CacheEventFeed implements prefixCache.PrefixCacheListener {
	readonly #subscribers = new Set<http.ServerResponse>();
	readonly #heartbeatTimer: NodeJS.Timeout;
	#sequence = 0;

	constructor(
		private readonly incarnation: string,
		private readonly settings: engineOptions.EngineSettings,
		private readonly faults: () => fault.FaultState,
		private readonly random: util.Random,
	) {
		this.#heartbeatTimer = setInterval(() => {
			this.#write(': heartbeat\n\n');
		}, settings.heartbeatMs);
		this.#heartbeatTimer.unref();
	}

	onStored(key: string): void {
		this.#publish(wire.endpoint.CacheEventType.Stored, key);
	}

	onEvicted(key: string): void {
		this.#publish(wire.endpoint.CacheEventType.Evicted, key);
	}

	onCleared(): void {
		this.#publish(wire.endpoint.CacheEventType.Cleared, '');
	}

	/** Sends all later events to a response. */
	addSubscriber(res: http.ServerResponse): void {
		res.writeHead(200, {'content-type': wire.http.MediaType.EventStream});
		res.flushHeaders();
		this.#subscribers.add(res);
		res.once('close', () => {
			this.#subscribers.delete(res);
		});
	}

	/** Stops the heartbeats. */
	stop(): void {
		clearInterval(this.#heartbeatTimer);
	}

	#publish(type: wire.endpoint.CacheEventType, key: string): void {
		const event: wire.endpoint.CacheEvent = {
			incarnation: this.incarnation, sequence: this.#sequence, type, key,
		};
		this.#sequence += 1;
		const lossProbability = Math.max(this.settings.cacheEventLoss, this.faults().dropEventsProbability);
		if (this.random.chance(lossProbability) || this.#subscribers.size === 0) {
			return;
		}

		setTimeout(() => {
			this.#write(`id: ${event.sequence}\ndata: ${JSON.stringify(event)}\n\n`);
		}, this.settings.cacheEventDelayMs).unref();
	}

	#write(text: string): void {
		if (this.faults().isFrozen) {
			return;
		}

		for (const res of this.#subscribers) {
			res.write(text);
		}
	}
}

/* eslint-disable @typescript-eslint/naming-convention -- Field names of the protocol. */
import type * as http from 'node:http';
import * as kvBody from './kv-body.js';
import * as revisionStore from './revision-store.js';

type Watch = {
	readonly range: revisionStore.KeyRange;
	readonly res: http.ServerResponse;
};

/** The watches that are waiting. */
export class KvWatches {
	readonly #watches = new Set<Watch>();
	readonly #timer: NodeJS.Timeout;

	/**
	 * @param revision - Reads the revision of the last change.
	 * @param isFrozen - Whether nothing may be written now.
	 * @param progressMs - Milliseconds between progress notices.
	 */
	constructor(private readonly revision: () => number, private readonly isFrozen: () => boolean, progressMs: number) {
		this.#timer = setInterval(() => {
			this.#sendProgress();
		}, progressMs);
		this.#timer.unref();
	}

	/** Number of waiting watches. */
	get size(): number {
		return this.#watches.size;
	}

	/** Opens a watch and sends it the changes since its start. */
	open(range: revisionStore.KeyRange, res: http.ServerResponse, missed: readonly revisionStore.StoredChange[]): void {
		const watch = {range, res};
		res.writeHead(200, {'content-type': 'application/json'});
		this.#write(watch, {created: true});
		this.#watches.add(watch);
		res.once('close', () => {
			this.#watches.delete(watch);
		});
		for (const change of missed) {
			this.#send(watch, change);
		}
	}

	/** Tells the watches of a change. */
	publish(change: revisionStore.StoredChange): void {
		for (const watch of this.#watches) {
			this.#send(watch, change);
		}
	}

	/** Ends the progress notices. */
	stop(): void {
		clearInterval(this.#timer);
	}

	#send(watch: Watch, change: revisionStore.StoredChange): void {
		if (!revisionStore.isInRange(change.key, watch.range)) {
			return;
		}

		const event = change.pair
			? {kv: kvBody.pairJson(change.pair)}
			: {type: 'DELETE', kv: {key: change.key, mod_revision: String(change.revision)}};
		this.#write(watch, {events: [event]});
	}

	#sendProgress(): void {
		if (this.isFrozen()) {
			return;
		}

		for (const watch of this.#watches) {
			this.#write(watch, {});
		}
	}

	#write(watch: Watch, result: Readonly<Record<string, unknown>>): void {
		const header = {revision: String(this.revision())};
		watch.res.write(`${JSON.stringify({result: {header, ...result}})}\n`);
	}
}

/* eslint-disable @typescript-eslint/naming-convention -- Field names of the protocol. */
import type * as http from 'node:http';
import * as kvBody from './kv-body.js';
import * as revisionStore from './revision-store.js';

type Watch = {
	readonly range: revisionStore.KeyRange;
	readonly res: http.ServerResponse;
};

/** Open watches, to which changes and progress notifications are sent. */
export class KvWatches {
	readonly #watches = new Set<Watch>();
	readonly #progressTimer: NodeJS.Timeout;

	/**
	 * @param currentRevision - Returns the revision of the last change.
	 * @param isFrozen - Returns whether progress notifications are suspended.
	 * @param progressIntervalMs - Milliseconds between progress notifications.
	 */
	constructor(private readonly currentRevision: () => number, private readonly isFrozen: () => boolean, progressIntervalMs: number) {
		this.#progressTimer = setInterval(() => {
			this.#sendProgress();
		}, progressIntervalMs);
		this.#progressTimer.unref();
	}

	/** Number of open watches. */
	get size(): number {
		return this.#watches.size;
	}

	/** Opens a watch and sends it the past changes in its range. */
	open(range: revisionStore.KeyRange, res: http.ServerResponse, pastChanges: readonly revisionStore.StoredChange[]): void {
		const watch = {range, res};
		res.writeHead(200, {'content-type': 'application/json'});
		this.#writeResult(watch, {created: true});
		this.#watches.add(watch);
		res.once('close', () => {
			this.#watches.delete(watch);
		});
		for (const change of pastChanges) {
			this.#sendChange(watch, change);
		}
	}

	/** Sends a change to the watches whose range contains its key. */
	publish(change: revisionStore.StoredChange): void {
		for (const watch of this.#watches) {
			this.#sendChange(watch, change);
		}
	}

	/** Stops the progress notifications. */
	stop(): void {
		clearInterval(this.#progressTimer);
	}

	#sendChange(watch: Watch, change: revisionStore.StoredChange): void {
		if (!revisionStore.isInRange(change.key, watch.range)) {
			return;
		}

		const event = change.pair
			? {kv: kvBody.pairJson(change.pair)}
			: {type: 'DELETE', kv: {key: change.key, mod_revision: String(change.revision)}};
		this.#writeResult(watch, {events: [event]});
	}

	#sendProgress(): void {
		if (this.isFrozen()) {
			return;
		}

		for (const watch of this.#watches) {
			this.#writeResult(watch, {});
		}
	}

	#writeResult(watch: Watch, result: Readonly<Record<string, unknown>>): void {
		const header = {revision: String(this.currentRevision())};
		watch.res.write(`${JSON.stringify({result: {header, ...result}})}\n`);
	}
}

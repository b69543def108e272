import type * as core from '@bluebellmast/core';
import type * as clients from '@bluebellmast/kv';
import type * as storeFeed from './store-feed.js';

/** A listener for the keys under one prefix. */
export type PrefixListener = {
	readonly prefix: string;
	readonly listener: storeFeed.StoreFeedListener;
};

/** Passes the changes of one feed of the whole store on to a listener for each prefix. */
export class PrefixListeners implements storeFeed.StoreFeedListener {
	constructor(private readonly listeners: readonly PrefixListener[]) {}

	onSnapshot(entries: readonly clients.kv.KvEntry[], context: storeFeed.ReadContext): void {
		for (const {prefix, listener} of this.listeners) {
			listener.onSnapshot(entries.filter(entry => entry.key.startsWith(prefix)), context);
		}
	}

	onChange(change: clients.kv.KvChange, context: storeFeed.ReadContext): void {
		for (const {prefix, listener} of this.listeners) {
			if (change.key.startsWith(prefix)) {
				listener.onChange(change, context);
			}
		}
	}

	onConfirmed(startedAt: number, respondedAfter: number): void {
		for (const {listener} of this.listeners) {
			listener.onConfirmed?.(startedAt, respondedAfter);
		}
	}

	onLapse(lapse: core.store.Lapse | undefined): void {
		for (const {listener} of this.listeners) {
			listener.onLapse?.(lapse);
		}
	}

	onReturn(): void {
		for (const {listener} of this.listeners) {
			listener.onReturn?.();
		}
	}
}

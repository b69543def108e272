import * as buffer from 'node:buffer';
import type * as core from '@bluebellmast/core';
import type * as clients from '@bluebellmast/kv';
import type * as clocks from '../util/clocks.js';
import type * as coordinationController from './coordination-controller.js';
import * as coordinationKeys from './coordination-keys.js';

/** Dependencies of {@link RecentVersionKeys}. */
export type RecentVersionKeysDependencies = {
	readonly store: Pick<clients.kv.KeyValueClient, 'grantLease' | 'compareAndSwap'>;
	readonly targets: core.rollout.WeightTargets;
	readonly coordination: Pick<coordinationController.CoordinationController, 'recordRecentVersion'>;
	readonly clock: clocks.Clocks;
	/** Age of a version at which its key ends, in milliseconds. */
	readonly lifetimeMs: number;
};

/** Shortest lease that is requested, in milliseconds: the store has a lower limit. */
const minLeaseMs = 2000;
/** Shortest time between two attempts to write keys, in milliseconds. */
const attemptIntervalMs = 1000;

/**
 * Writes a key for each version that was named lately, under a lease that ends with the time for which the replaced weights may be used. The store
 * counts that time while all VMs are down, and whatever their clocks say.
 */
export class RecentVersionKeys {
	readonly #written = new Set<string>();
	#attemptedAt = -Infinity;
	#isWriting = false;

	constructor(private readonly dependencies: RecentVersionKeysDependencies) {}

	/** Returns whether this VM has written the key of a version, which may have ended since. */
	has(model: string, version: number): boolean {
		return this.#written.has(coordinationKeys.recentVersionKey(model, version));
	}

	/** Writes the keys that are missing, of versions whose age this VM knows. */
	async tick(): Promise<void> {
		const {targets, clock, lifetimeMs} = this.dependencies;
		const now = clock.suspendAwareNow();
		if (this.#isWriting || now - this.#attemptedAt < attemptIntervalMs) {
			return;
		}

		const missing = targets.listKnownAges(lifetimeMs - minLeaseMs, now).filter(({model, version}) => !this.has(model, version));
		if (missing.length === 0) {
			return;
		}

		this.#attemptedAt = now;
		this.#isWriting = true;
		this.#forgetUnlisted();
		try {
			for (const {model, version, ageMs} of missing) {
				await this.#write(model, version, lifetimeMs - ageMs); // eslint-disable-line no-await-in-loop -- Seldom more than one.
			}
		} finally {
			this.#isWriting = false;
		}
	}

	/** Forgets the keys of versions that are no longer published. */
	#forgetUnlisted(): void {
		const listed = new Set(this.dependencies.targets.list().map(({model, version}) => coordinationKeys.recentVersionKey(model, version)));
		for (const key of this.#written) {
			if (!listed.has(key)) {
				this.#written.delete(key);
			}
		}
	}

	async #write(model: string, version: number, ttlMs: number): Promise<void> {
		const {store, coordination} = this.dependencies;
		const granted = await store.grantLease(ttlMs);
		const lease = granted.toMaybe().extract();
		if (lease === undefined || lease.ttlMs > ttlMs) {
			// Tried again while the key is missing. A lease that lasts longer would end after the bound.
			return;
		}

		const key = coordinationKeys.recentVersionKey(model, version);
		const swap = await store.compareAndSwap(key, 0, buffer.Buffer.from(''), lease.id, lease.era);
		// The key exists if another VM has written it.
		if (swap.isRight()) {
			this.#written.add(key);
			coordination.recordRecentVersion(key);
		}
	}
}

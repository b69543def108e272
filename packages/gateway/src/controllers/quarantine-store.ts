import type * as core from '@bluebellmast/core';
import type * as clients from '@bluebellmast/kv';
import type * as clocks from '../util/clocks.js';
import * as eventLog from '../util/event-log.js';
import * as coordinationKeys from './coordination-keys.js';
import type * as leaseController from './lease-controller.js';
import type * as quarantineController from './quarantine-controller.js';
import type * as storeFeed from './store-feed.js';
import * as storedEvidence from './stored-evidence.js';

/** Dependencies of a {@link QuarantineStore}. */
export type QuarantineStoreDependencies = {
	readonly store: Pick<clients.kv.KeyValueClient, 'compareAndSwap'>;
	readonly lease: Pick<leaseController.LeaseController, 'isLeading'>;
	readonly quarantine: Pick<quarantineController.QuarantineController, 'applyDigest' | 'applyEstimatedEvidence' | 'describeQuarantined'>;
	readonly clock: clocks.Clocks;
	readonly log: eventLog.EventLog;
};

/** Shortest time between two writes, in milliseconds. */
const writeIntervalMs = 1000;

/**
 * Keeps the evidence on quarantined parts in the key-value store, so that VMs know them that start after all others have ended. The
 * leading VM writes it when other parts are quarantined than those that are stored.
 */
export class QuarantineStore implements storeFeed.StoreFeedListener {
	#revision = 0;
	/** Era of the revision, if the store states one. */
	#era: number | undefined;
	/** Parts whose evidence is stored, in alphabetical order; absent before the store was read. */
	#storedParts: string | undefined;
	#storedSince: Readonly<Record<string, number>> = {};
	#attemptedAt = -Infinity;

	constructor(private readonly dependencies: QuarantineStoreDependencies) {}

	onSnapshot(entries: readonly clients.kv.KvEntry[], {changed}: storeFeed.ReadContext): void {
		const entry = entries.find(({key}) => key === coordinationKeys.quarantineKey);
		const isNewWrite = entry !== undefined && this.#revision > 0 && entry.revision > this.#revision && entry.era === this.#era;
		this.#clear();
		if (entry !== undefined) {
			// An entry that was written before the last read, or in another era, can have any age.
			this.#apply(entry, isNewWrite ? changed : {after: -Infinity, assumed: changed.before, before: changed.before});
		}
	}

	onChange({entry}: clients.kv.KvChange, {changed}: storeFeed.ReadContext): void {
		if (entry === undefined) {
			this.#clear();
		} else {
			this.#apply(entry, changed);
		}
	}

	/** Writes the evidence if it has changed and this VM leads. */
	async tick(): Promise<void> {
		const {store, lease, quarantine, clock, log} = this.dependencies;
		const now = clock.suspendAwareNow();
		if (!lease.isLeading || this.#storedParts === undefined || now - this.#attemptedAt < writeIntervalMs) {
			return;
		}

		const {keys, parts, evidence} = quarantine.describeQuarantined();
		if (parts === this.#storedParts) {
			return;
		}

		this.#attemptedAt = now;
		const writtenAt = clock.wallNow();
		const since = this.#computeSince(keys, writtenAt);
		const value = storedEvidence.encodeStoredEvidence({
			parts, since, writtenAt, evidence,
		});
		const result = await store.compareAndSwap(coordinationKeys.quarantineKey, this.#revision, value, undefined, this.#era);
		result.ifRight(({swapped, revision}) => {
			if (swapped) {
				this.#revision = revision;
				this.#storedParts = parts;
				this.#storedSince = since;
			}
		});
		// A conflict is resolved by the next read of the store.
		result.ifLeft(({message}) => {
			log.write(eventLog.LogEvent.QuarantineNotStored, {problem: message});
		});
	}

	#clear(): void {
		this.#revision = 0;
		this.#era = undefined;
		this.#storedParts = '';
		this.#storedSince = {};
	}

	/** @param written - When the entry was written. */
	#apply({value, revision, era}: clients.kv.KvEntry, written: core.store.ChangeInterval): void {
		this.#revision = revision;
		this.#era = era;
		const stored = storedEvidence.decodeStoredEvidence(value);
		this.#storedParts = stored?.parts ?? '';
		this.#storedSince = stored?.since ?? {};
		if (stored?.evidence !== undefined) {
			this.#applyEvidence(stored.evidence, stored.writtenAt, written);
		}
	}

	/** Applies evidence by the time at which this VM read it promptly, or else by the wall clocks of both VMs within the interval of its reads. */
	#applyEvidence(evidence: core.quarantine.QuarantineDigest, writtenAt: number, written: core.store.ChangeInterval): void {
		const {clock, quarantine} = this.dependencies;
		const now = clock.suspendAwareNow();
		if (written.isPrompt) {
			quarantine.applyDigest(addAge(evidence, Math.max(0, now - written.assumed)));
			return;
		}

		const byWallClocks = now - (clock.wallNow() - writtenAt);
		const writtenBy = Math.min(written.before, Math.max(written.after, byWallClocks));
		quarantine.applyEstimatedEvidence(addAge(evidence, Math.max(0, now - writtenBy)));
	}

	/** Returns since when parts are quarantined; the store knows it of those that another VM or an earlier process wrote. */
	#computeSince(keys: readonly string[], now: number): Record<string, number> {
		return Object.fromEntries(keys.map(part => [part, this.#storedSince[part] ?? now]));
	}
}

function addAge(evidence: core.quarantine.QuarantineDigest, sinceMs: number): core.quarantine.QuarantineDigest {
	return {
		crashes: evidence.crashes.map(row => ({...row, ageMs: row.ageMs + sinceMs})), soundParts: [], survivors: [],
	};
}

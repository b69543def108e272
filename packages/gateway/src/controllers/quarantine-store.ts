import * as buffer from 'node:buffer';
import type * as core from '@bluebellmast/core';
import type * as clients from '@bluebellmast/kv';
import * as digestCodec from '../peers/digest-codec.js';
import type * as clocks from '../util/clocks.js';
import * as eventLog from '../util/event-log.js';
import * as coordinationKeys from './coordination-keys.js';
import type * as leaseController from './lease-controller.js';
import type * as quarantineController from './quarantine-controller.js';
import type * as storeFeed from './store-feed.js';

/** Dependencies of a {@link QuarantineStore}. */
export type QuarantineStoreDependencies = {
	readonly store: Pick<clients.kv.KeyValueClient, 'compareAndSwap'>;
	readonly lease: Pick<leaseController.LeaseController, 'isLeading'>;
	readonly quarantine: Pick<quarantineController.QuarantineController, 'applyDigest' | 'describeQuarantined'>;
	readonly clock: clocks.Clocks;
	readonly log: eventLog.EventLog;
};

/** Evidence as it is stored. */
type StoredEvidence = digestCodec.EncodedEvidence & {
	/** Unix milliseconds from which the ages count. */
	readonly writtenAt: number;
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
	#attemptedAt = -Infinity;

	constructor(private readonly dependencies: QuarantineStoreDependencies) {}

	onSnapshot(entries: readonly clients.kv.KvEntry[]): void {
		const entry = entries.find(({key}) => key === coordinationKeys.quarantineKey);
		this.#revision = 0;
		this.#era = undefined;
		this.#storedParts = '';
		if (entry !== undefined) {
			this.#apply(entry);
		}
	}

	onChange({entry}: clients.kv.KvChange): void {
		if (entry === undefined) {
			this.onSnapshot([]);
		} else {
			this.#apply(entry);
		}
	}

	/** Writes the evidence if it has changed and this VM leads. */
	async tick(): Promise<void> {
		const {store, lease, quarantine, clock, log} = this.dependencies;
		const now = clock.suspendAwareNow();
		if (!lease.isLeading || this.#storedParts === undefined || now - this.#attemptedAt < writeIntervalMs) {
			return;
		}

		const {parts, evidence} = quarantine.describeQuarantined();
		if (parts === this.#storedParts) {
			return;
		}

		this.#attemptedAt = now;
		const stored: StoredEvidence = {writtenAt: clock.wallNow(), ...digestCodec.encodeEvidence(evidence)};
		const value = buffer.Buffer.from(JSON.stringify({parts, ...stored}));
		const result = await store.compareAndSwap(coordinationKeys.quarantineKey, this.#revision, value, undefined, this.#era);
		result.ifRight(({swapped, revision}) => {
			if (swapped) {
				this.#revision = revision;
				this.#storedParts = parts;
			}
		});
		// A conflict is resolved by the next read of the store.
		result.ifLeft(({message}) => {
			log.write(eventLog.LogEvent.QuarantineNotStored, {problem: message});
		});
	}

	#apply({value, revision, era}: clients.kv.KvEntry): void {
		this.#revision = revision;
		this.#era = era;
		const stored = decode(value);
		this.#storedParts = stored?.parts ?? '';
		const evidence = stored && digestCodec.decodeEvidence(stored);
		if (evidence !== undefined) {
			const sinceMs = Math.max(0, this.dependencies.clock.wallNow() - stored!.writtenAt);
			this.dependencies.quarantine.applyDigest(addAge(evidence, sinceMs));
		}
	}
}

function addAge(evidence: core.quarantine.QuarantineDigest, sinceMs: number): core.quarantine.QuarantineDigest {
	return {
		crashes: evidence.crashes.map(row => ({...row, ageMs: row.ageMs + sinceMs})), soundParts: [], survivors: [],
	};
}

function decode(value: Uint8Array): (StoredEvidence & {readonly parts: string}) | undefined {
	try {
		const json = JSON.parse(buffer.Buffer.from(value).toString()) as StoredEvidence & {readonly parts: string};
		return typeof json.writtenAt === 'number' && typeof json.parts === 'string' ? json : undefined;
	} catch {
		// Written by another version of the gateway; it is overwritten when a part is quarantined.
		return undefined;
	}
}

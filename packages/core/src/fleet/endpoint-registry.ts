import type * as lapseWindow from '../store/lapse-window.js';
import * as endpointEntry from './endpoint-entry.js';

/** Times after which the registry drops observed weights, in milliseconds. */
export type RegistryOptions = {
	/** Age of an observed version from which an older version in an entry or a report is accepted instead of ignored as stale. */
	readonly observationLifetimeMs: number;
};

/** Endpoints write their entries every 1.2 s and the entries arrive 0.8 s late; the observation lifetime adds one second. */
export const defaultRegistryOptions: RegistryOptions = {observationLifetimeMs: 3000};

type RegisteredEndpoint = {
	readonly entry: endpointEntry.EndpointEntry;
	/** A time after which the entry was certainly written; `-Infinity` when unknown. */
	readonly writtenAfter: number;
	/** When the entry was found missing; absent while it is listed. */
	readonly missingSince?: number;
};

/** An endpoint whose entry was missing for a time, in milliseconds. */
export type MissingEndpoint = {
	readonly id: string;
	readonly missingMs: number;
};

/** A weights version that an endpoint was observed to hold. */
type ObservedVersion = {
	readonly version: number;
	/** When it was last observed. */
	readonly seenAt: number;
};

/** Weights that an endpoint was observed to hold after its entry was written. */
type ObservedWeights = {
	readonly bornAt: number;
	/** Accepted version by model. */
	readonly versions: Map<string, ObservedVersion>;
};

/**
 * Endpoints that the key-value store lists; kept during its outages. All times are in milliseconds of a clock that also counts the time that the VM
 * was suspended.
 */
export class EndpointRegistry {
	readonly #endpoints = new Map<string, RegisteredEndpoint>();
	readonly #observed = new Map<string, ObservedWeights>();
	/** Ready endpoints by pool; cleared at each change. */
	readonly #ready = new Map<string, readonly endpointEntry.EndpointEntry[]>();
	/** When the endpoints whose entries are missing are dropped; `Infinity` if there are none or the store is unavailable. */
	#dropAt = Infinity;
	/** Endpoints that were dropped since {@link EndpointRegistry.takeDropped}. */
	#dropped: MissingEndpoint[] = [];

	constructor(private readonly options: RegistryOptions = defaultRegistryOptions) {}

	/**
	 * Adds or replaces an entry, and drops expired observations of its endpoint; an equal entry only renews it.
	 *
	 * @param writtenAfter - A time after which the entry was certainly written; by default nothing new is known.
	 */
	put(entry: endpointEntry.EndpointEntry, now: number, writtenAfter = -Infinity): void {
		this.#set(entry, writtenAfter);
		const observed = this.#observed.get(entry.id);
		if (observed === undefined) {
			return;
		}

		if (observed.bornAt !== entry.bornAt) {
			this.#observed.delete(entry.id);
			return;
		}

		for (const [model, {seenAt}] of observed.versions) {
			if (now - seenAt > this.options.observationLifetimeMs) {
				observed.versions.delete(model);
			}
		}
	}

	/**
	 * Removes an entry; keeps it until the end of the lapse if it may only have expired.
	 *
	 * @param lapse - Time in which entries of live endpoints may be missing; absent if there was no outage.
	 */
	remove(id: string, lapse: lapseWindow.Lapse | undefined, now: number): void {
		const known = this.#endpoints.get(id);
		if (known === undefined) {
			return;
		}

		if (lapse === undefined || !this.mayHaveExpired(id, lapse)) {
			this.#drop(id);
			return;
		}

		this.#endpoints.set(id, {...known, missingSince: known.missingSince ?? now});
		this.#dropAt = lapse.endsAt;
	}

	/** Keeps the endpoints whose entries are missing until the end of a lapse, or drops them if there is none. */
	applyLapse(lapse: lapseWindow.Lapse | undefined): void {
		this.#dropAt = lapse?.endsAt ?? -Infinity;
	}

	/** Returns whether the entry of an endpoint may have expired in an outage; otherwise its removal means that the endpoint has left. */
	mayHaveExpired(id: string, lapse: lapseWindow.Lapse): boolean {
		const known = this.#endpoints.get(id);
		return known?.entry.state === endpointEntry.EndpointState.Ready && known.writtenAfter < lapse.returnedAt;
	}

	/** Replaces all entries by a complete listing. */
	replaceAll(entries: readonly endpointEntry.EndpointEntry[], lapse: lapseWindow.Lapse | undefined, now: number): void {
		const listed = new Set(entries.map(entry => entry.id));
		for (const id of this.#endpoints.keys()) {
			if (!listed.has(id)) {
				this.remove(id, lapse, now);
			}
		}

		for (const entry of entries) {
			this.put(entry, now);
		}
	}

	/** Returns the endpoints whose entries did not return in time, and which were dropped since the last call. */
	takeDropped(now: number): readonly MissingEndpoint[] {
		this.#dropMissing(now);
		const dropped = this.#dropped;
		this.#dropped = [];
		return dropped;
	}

	/** Returns for how long the entry of a kept endpoint has been missing; `undefined` if it is listed or unknown. */
	missingMs(id: string, now: number): number | undefined {
		const missingSince = this.#endpoints.get(id)?.missingSince;
		return missingSince === undefined ? undefined : now - missingSince;
	}

	/**
	 * Records a version that an incarnation was observed to hold after its entry was written. An older version is accepted only
	 * when the newer one was not observed for `observationLifetimeMs`: reports arrive late, but a delayed order can restore
	 * older weights.
	 */
	recordObservedWeights(id: string, bornAt: number, weights: {readonly model: string; readonly version: number}, now: number): void {
		const known = this.#endpoints.get(id);
		if (known?.entry.bornAt !== bornAt) {
			return;
		}

		const {model, version} = weights;
		const observed = this.#observed.get(id) ?? {bornAt, versions: new Map<string, ObservedVersion>()};
		const last = observed.versions.get(model);
		const isAccepted = last === undefined || version >= last.version || now - last.seenAt > this.options.observationLifetimeMs;
		if (isAccepted) {
			observed.versions.set(model, {version, seenAt: now});
		}

		this.#observed.set(id, observed);
	}

	/** Returns the version of a model's weights that an endpoint holds; `undefined` when unknown. */
	weightVersion(id: string, model: string): number | undefined {
		const listed = this.#endpoints.get(id)?.entry.weights.get(model);
		const observed = this.#observed.get(id)?.versions.get(model)?.version;
		if (listed === undefined || observed === undefined) {
			return listed ?? observed;
		}

		return Math.max(listed, observed);
	}

	/** Returns an endpoint by id. */
	get(id: string): endpointEntry.EndpointEntry | undefined {
		return this.#endpoints.get(id)?.entry;
	}

	/** Returns whether an incarnation accepts new requests. */
	isReady({id, bornAt}: endpointEntry.EndpointIncarnation, now: number): boolean {
		this.#dropMissing(now);
		const entry = this.get(id);
		return entry?.bornAt === bornAt && entry.state === endpointEntry.EndpointState.Ready;
	}

	/** Returns the endpoints of a pool that accept new requests. */
	listReady(pool: string, now: number): readonly endpointEntry.EndpointEntry[] {
		this.#dropMissing(now);
		const known = this.#ready.get(pool);
		if (known !== undefined) {
			return known;
		}

		const ready = this.list().filter(entry => entry.pool === pool && entry.state === endpointEntry.EndpointState.Ready);
		this.#ready.set(pool, ready);
		return ready;
	}

	/** Returns all endpoints. */
	list(): endpointEntry.EndpointEntry[] {
		return [...this.#endpoints.values()].map(known => known.entry);
	}

	#set(entry: endpointEntry.EndpointEntry, writtenAfter: number): void {
		const known = this.#endpoints.get(entry.id);
		if (known === undefined || !endpointEntry.isSameEntry(known.entry, entry)) {
			this.#ready.clear();
			this.#endpoints.set(entry.id, {entry, writtenAfter});
			return;
		}

		const latest = Math.max(known.writtenAfter, writtenAfter);
		if (known.missingSince !== undefined || latest !== known.writtenAfter) {
			this.#endpoints.set(entry.id, {entry: known.entry, writtenAfter: latest});
		}
	}

	/** Drops the endpoints whose entries did not return in time. */
	#dropMissing(now: number): void {
		if (now < this.#dropAt) {
			return;
		}

		this.#dropAt = Infinity;
		for (const [id, {missingSince}] of this.#endpoints) {
			if (missingSince !== undefined) {
				this.#drop(id);
				this.#dropped.push({id, missingMs: now - missingSince});
			}
		}
	}

	#drop(id: string): void {
		this.#ready.clear();
		this.#endpoints.delete(id);
		this.#observed.delete(id);
	}
}

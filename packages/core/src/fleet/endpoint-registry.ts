import * as endpointEntry from './endpoint-entry.js';

/** Times after which the registry drops endpoints and observed weights, in milliseconds. */
export type RegistryOptions = {
	/** How long an endpoint is kept when its entry may have expired during an outage of the key-value store. */
	readonly returnGraceMs: number;
	/** Age of an observed version from which an older version in an entry or a report is accepted instead of ignored as stale. */
	readonly observationLifetimeMs: number;
};

/**
 * The platform states that expired entries return within about two seconds; the time limit of draining is no shorter.
 * Endpoints write their entries every 1.2 s and the entries arrive 0.8 s late; the observation lifetime adds one second.
 */
export const defaultRegistryOptions: RegistryOptions = {returnGraceMs: 2000, observationLifetimeMs: 3000};

type RegisteredEndpoint = {
	readonly entry: endpointEntry.EndpointEntry;
	/** When the entry was found missing, and when the endpoint is dropped unless it returns; absent while the entry is listed. */
	readonly missing?: {readonly since: number; readonly expiresAt: number};
};

/** An endpoint whose entry was missing for a time, in milliseconds. */
export type MissingEndpoint = {
	readonly id: string;
	readonly missingMs: number;
};

/** A weights version that an endpoint was observed to hold. */
type ObservedVersion = {
	readonly version: number;
	/** When it was last observed, in milliseconds of the monotonic clock. */
	readonly seenAt: number;
};

/** Weights that an endpoint was observed to hold after its entry was written. */
type ObservedWeights = {
	readonly bornAt: number;
	/** Accepted version by model. */
	readonly versions: Map<string, ObservedVersion>;
};

/** Endpoints that the key-value store lists; kept during its outages. */
export class EndpointRegistry {
	readonly #endpoints = new Map<string, RegisteredEndpoint>();
	readonly #observed = new Map<string, ObservedWeights>();
	/** Ready endpoints by pool; cleared at each change. */
	readonly #ready = new Map<string, readonly endpointEntry.EndpointEntry[]>();

	constructor(private readonly options: RegistryOptions = defaultRegistryOptions) {}

	/** Adds or replaces an entry, and drops expired observations of its endpoint; an equal entry only renews it. */
	put(entry: endpointEntry.EndpointEntry, now: number): void {
		this.#set(entry);
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
	 * Removes an entry; keeps it for `returnGraceMs` if it may only have expired.
	 *
	 * @param maybeLapsed - Whether the key-value store was unavailable shortly before, so that the entry of a live endpoint may have expired.
	 */
	remove(id: string, maybeLapsed: boolean, now: number): void {
		const known = this.#endpoints.get(id);
		if (known === undefined) {
			return;
		}

		if (!maybeLapsed || known.entry.state === endpointEntry.EndpointState.Draining) {
			this.#drop(id);
			return;
		}

		const missing = known.missing ?? {since: now, expiresAt: now + this.options.returnGraceMs};
		this.#endpoints.set(id, {entry: known.entry, missing});
	}

	/** Replaces all entries by a complete listing. */
	replaceAll(entries: readonly endpointEntry.EndpointEntry[], maybeLapsed: boolean, now: number): void {
		const listed = new Set(entries.map(entry => entry.id));
		for (const id of this.#endpoints.keys()) {
			if (!listed.has(id)) {
				this.remove(id, maybeLapsed, now);
			}
		}

		for (const entry of entries) {
			this.put(entry, now);
		}
	}

	/** Drops endpoints whose entries did not return in time. @returns These endpoints. */
	removeExpired(now: number): readonly MissingEndpoint[] {
		const dropped: MissingEndpoint[] = [];
		for (const [id, {missing}] of this.#endpoints) {
			if (missing !== undefined && missing.expiresAt <= now) {
				this.#drop(id);
				dropped.push({id, missingMs: now - missing.since});
			}
		}

		return dropped;
	}

	/** Returns for how long the entry of a kept endpoint has been missing; `undefined` if it is listed or unknown. */
	missingMs(id: string, now: number): number | undefined {
		const missing = this.#endpoints.get(id)?.missing;
		return missing && now - missing.since;
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

	/** Returns the endpoints of a pool that accept new requests. */
	listReady(pool: string): readonly endpointEntry.EndpointEntry[] {
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

	#set(entry: endpointEntry.EndpointEntry): void {
		const known = this.#endpoints.get(entry.id);
		if (known === undefined || !endpointEntry.isSameEntry(known.entry, entry)) {
			this.#ready.clear();
			this.#endpoints.set(entry.id, {entry});
		} else if (known.missing !== undefined) {
			this.#endpoints.set(entry.id, {entry: known.entry});
		}
	}

	#drop(id: string): void {
		this.#ready.clear();
		this.#endpoints.delete(id);
		this.#observed.delete(id);
	}
}

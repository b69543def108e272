import * as endpointEntry from './endpoint-entry.js';

/** Times by which the registry forgets endpoints, in milliseconds. */
export type RegistryOptions = {
	/** An entry that lapsed while the store was away and is missing this long after its return is gone. */
	readonly returnGraceMs: number;
	/** Age of an observed version beyond which older weights in an entry or a report are news, and not a late copy. */
	readonly observationLifetimeMs: number;
};

/**
 * The platform states that lapsed entries return within about two seconds; the bound of draining is no shorter. Endpoints
 * write every 1.2 s and entries arrive 0.8 s late, to which a second is added.
 */
export const defaultRegistryOptions: RegistryOptions = {returnGraceMs: 2000, observationLifetimeMs: 3000};

type RegisteredEndpoint = {
	readonly entry: endpointEntry.EndpointEntry;
	/** When the entry is dropped unless it returns. */
	readonly expiresAt?: number;
};

/** A version that an endpoint was seen to hold. */
type ObservedVersion = {
	readonly version: number;
	/** When it was seen last, in steady milliseconds. */
	readonly seenAt: number;
};

/** Notes of an endpoint's weights that are newer than its entry. */
type ObservedWeights = {
	readonly bornAt: number;
	/** Newest observation of each model. */
	readonly versions: Map<string, ObservedVersion>;
};

/** The endpoints that the store lists, kept over outages of the store. */
export class EndpointRegistry {
	readonly #endpoints = new Map<string, RegisteredEndpoint>();
	readonly #observed = new Map<string, ObservedWeights>();

	constructor(private readonly terms: RegistryOptions = defaultRegistryOptions) {}

	/** Takes one entry as written. */
	put(entry: endpointEntry.EndpointEntry, now: number): void {
		this.#endpoints.set(entry.id, {entry});
		const observed = this.#observed.get(entry.id);
		if (observed === undefined) {
			return;
		}

		if (observed.bornAt !== entry.bornAt) {
			this.#observed.delete(entry.id);
			return;
		}

		for (const [model, {seenAt}] of observed.versions) {
			if (now - seenAt > this.terms.observationLifetimeMs) {
				observed.versions.delete(model);
			}
		}
	}

	/**
	 * Takes the removal of an entry.
	 *
	 * @param maybeLapsed - Whether the store was away shortly before, so that a living endpoint's entry may have lapsed.
	 */
	remove(id: string, maybeLapsed: boolean, now: number): void {
		const known = this.#endpoints.get(id);
		if (known === undefined) {
			return;
		}

		if (!maybeLapsed || known.entry.state === endpointEntry.EndpointState.Draining) {
			this.#forget(id);
			return;
		}

		this.#endpoints.set(id, {entry: known.entry, expiresAt: known.expiresAt ?? now + this.terms.returnGraceMs});
	}

	/** Takes a whole listing: entries that it lacks are removed. */
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

	/** Drops entries that did not return in time. */
	removeExpired(now: number): void {
		for (const [id, known] of this.#endpoints) {
			if (known.expiresAt !== undefined && known.expiresAt <= now) {
				this.#forget(id);
			}
		}
	}

	/**
	 * Notes a version that an incarnation was seen to hold after its entry was written. An older one is only taken once the
	 * newer was not seen for some time: reports are late, but an order that was delayed can bring old weights back.
	 */
	noteObservedWeights(id: string, bornAt: number, weights: {readonly model: string; readonly version: number}, now: number): void {
		const known = this.#endpoints.get(id);
		if (known?.entry.bornAt !== bornAt) {
			return;
		}

		const {model, version} = weights;
		const observed = this.#observed.get(id) ?? {bornAt, versions: new Map<string, ObservedVersion>()};
		const last = observed.versions.get(model);
		const isAccepted = last === undefined || version >= last.version || now - last.seenAt > this.terms.observationLifetimeMs;
		if (isAccepted) {
			observed.versions.set(model, {version, seenAt: now});
		}

		this.#observed.set(id, observed);
	}

	/** Version of a model's weights that an endpoint holds, as far as is known. */
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

	/** Returns the endpoints of a pool that take new requests. */
	listReady(pool: string): endpointEntry.EndpointEntry[] {
		return this.list().filter(entry => entry.pool === pool && entry.state === endpointEntry.EndpointState.Ready);
	}

	/** Returns all endpoints. */
	list(): endpointEntry.EndpointEntry[] {
		return [...this.#endpoints.values()].map(known => known.entry);
	}

	#forget(id: string): void {
		this.#endpoints.delete(id);
		this.#observed.delete(id);
	}
}

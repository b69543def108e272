import type * as endpointEntry from '../fleet/endpoint-entry.js';

/** Times of {@link DepartedEndpoints}, in milliseconds. */
export type DepartureOptions = {
	/** How long the departure of an endpoint is remembered: longer than a copy of the store is old. */
	readonly retentionMs: number;
	/** How long an entry of a departed endpoint must stay listed before it counts again: entries of silent endpoints are removed earlier. */
	readonly confirmationMs: number;
};

/** The platform removes an entry after three heartbeats of silence, each about 1.2 s; the confirmation time adds two seconds. */
export const defaultDepartureOptions: DepartureOptions = {retentionMs: 60_000, confirmationMs: 6000};

type HeldEntry = {
	readonly entry: endpointEntry.EndpointEntry;
	readonly acceptAt: number;
};

/**
 * Remembers endpoints that have left, so that their entries do not count when the store returns from a copy that still has them.
 */
export class DepartedEndpoints {
	readonly #departures = new Map<string, {readonly bornAt: number; readonly at: number}>();
	readonly #held = new Map<string, HeldEntry>();

	constructor(private readonly options: DepartureOptions = defaultDepartureOptions) {}

	/** Records that the incarnation of an endpoint has left. */
	recordDeparture(entry: endpointEntry.EndpointEntry, now: number): void {
		this.#departures.set(entry.id, {bornAt: entry.bornAt, at: now});
	}

	/**
	 * Holds an entry that the store lists after a return, if its incarnation has left.
	 *
	 * @returns Whether the entry is held, and must not be used.
	 */
	hold(entry: endpointEntry.EndpointEntry, now: number): boolean {
		const departure = this.#departures.get(entry.id);
		if (departure?.bornAt !== entry.bornAt || now - departure.at > this.options.retentionMs) {
			return false;
		}

		this.#held.set(entry.id, {entry, acceptAt: this.#held.get(entry.id)?.acceptAt ?? now + this.options.confirmationMs});
		return true;
	}

	/** Forgets an endpoint whose entry was written or removed. */
	release(id: string): void {
		this.#departures.delete(id);
		this.#held.delete(id);
	}

	/** Returns the held entries that have stayed listed, and forgets these and old departures. */
	takeConfirmed(now: number): endpointEntry.EndpointEntry[] {
		for (const [id, {at}] of this.#departures) {
			if (now - at > this.options.retentionMs && !this.#held.has(id)) {
				this.#departures.delete(id);
			}
		}

		const confirmed = [...this.#held.values()].filter(({acceptAt}) => acceptAt <= now).map(({entry}) => entry);
		for (const {id} of confirmed) {
			this.release(id);
		}

		return confirmed;
	}
}

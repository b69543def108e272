/** A sign of where a prompt part is cached. */
export type PartSign = {
	/** Part with its cache namespace, which holds the version of the weights. */
	readonly key: string;
	readonly endpoint: string;
	/** Whether the part was computed there, so that the cache store has it, too, or will have it soon. */
	readonly isComputed: boolean;
};

type Place = {
	readonly endpoint: string;
	readonly at: number;
};

type Part = {
	/** Endpoints that were sent the part lately, latest last. */
	places: readonly Place[];
	/** When the part was last saved to the cache store. */
	savedAt: number;
};

/** Bounds of the memory of parts. */
export type PartPlacesTerms = {
	/** How long a part is expected to stay in an endpoint's cache after its last use, in milliseconds. */
	readonly cachedMs: number;
	/** How long a part is expected to stay in the cache store after it was saved, in milliseconds. */
	readonly storedMs: number;
	/** Parts that are remembered. */
	readonly maxParts: number;
};

/**
 * At the rates of the sheets an engine reads its whole memory anew in about seven seconds, and the cache store of
 * Chaophraya in about thirty; the number of parts keeps the memory below 4 MB.
 */
export const defaultPartPlacesTerms: PartPlacesTerms = {cachedMs: 6000, storedMs: 25_000, maxParts: 10_000};

/** Remembers where prompt parts were sent and computed lately, by this VM and the others, as a sign of what is cached. */
export class PartPlaces {
	/** Least recently noted part first. */
	readonly #parts = new Map<string, Part>();

	constructor(private readonly terms: PartPlacesTerms = defaultPartPlacesTerms) {}

	/** Takes a sign. */
	note(sign: PartSign, now: number): void {
		const known = this.#parts.get(sign.key);
		const others = (known?.places ?? [])
			.filter(place => place.endpoint !== sign.endpoint && now - place.at < this.terms.cachedMs);
		this.#parts.delete(sign.key);
		this.#parts.set(sign.key, {
			places: [...others, {endpoint: sign.endpoint, at: now}],
			savedAt: sign.isComputed ? now : known?.savedAt ?? -Infinity,
		});
		if (this.#parts.size > this.terms.maxParts) {
			const [oldest] = this.#parts.keys();
			this.#parts.delete(oldest!);
		}
	}

	/** Whether an endpoint is expected to have a part in its cache. */
	isCached(key: string, endpoint: string, now: number): boolean {
		const places = this.#parts.get(key)?.places ?? [];
		return places.some(place => place.endpoint === endpoint && now - place.at < this.terms.cachedMs);
	}

	/** Milliseconds since a part was saved to the cache store; infinite where it is not expected there. */
	storedForMs(key: string, now: number): number {
		const ageMs = now - (this.#parts.get(key)?.savedAt ?? -Infinity);
		return ageMs < this.terms.storedMs ? ageMs : Infinity;
	}

	/** Drops all that is known of the cache store, which came back empty. */
	forgetStore(): void {
		for (const part of this.#parts.values()) {
			part.savedAt = -Infinity;
		}
	}
}

type Placement = {
	readonly endpoint: string;
	readonly at: number;
};

/** Bounds of the memory of placements. */
export type RecentPartsTerms = {
	/** How long a part is expected to stay in an endpoint's cache after its last use, in milliseconds. */
	readonly lifetimeMs: number;
	/** Parts that are remembered. */
	readonly maxParts: number;
};

/**
 * Engines of the deployments read their whole memory anew in about seven seconds at the rates of the sheets; the number
 * of parts keeps the memory below 2 MB.
 */
export const defaultRecentPartsTerms: RecentPartsTerms = {lifetimeMs: 6000, maxParts: 10_000};

/** Remembers which endpoints were sent which prompt parts lately, as a sign of what they cache. */
export class RecentParts {
	/** Placements of each part, least recently used part first. */
	readonly #parts = new Map<string, Placement[]>();

	constructor(private readonly terms: RecentPartsTerms = defaultRecentPartsTerms) {}

	/** Notes that an endpoint has a part in its cache now. */
	note(partKey: string, endpoint: string, now: number): void {
		const others = (this.#parts.get(partKey) ?? [])
			.filter(item => item.endpoint !== endpoint && now - item.at < this.terms.lifetimeMs);
		this.#parts.delete(partKey);
		this.#parts.set(partKey, [...others, {endpoint, at: now}]);
		if (this.#parts.size > this.terms.maxParts) {
			const [oldest] = this.#parts.keys();
			this.#parts.delete(oldest!);
		}
	}

	/** Whether an endpoint is expected to have a part in its cache. */
	has(partKey: string, endpoint: string, now: number): boolean {
		return (this.#parts.get(partKey) ?? [])
			.some(item => item.endpoint === endpoint && now - item.at < this.terms.lifetimeMs);
	}

	/** Drops all that is known of an endpoint, which lost its cache. */
	forgetEndpoint(endpoint: string): void {
		for (const [key, placements] of this.#parts) {
			const left = placements.filter(item => item.endpoint !== endpoint);
			if (left.length === 0) {
				this.#parts.delete(key);
			} else if (left.length < placements.length) {
				this.#parts.set(key, left);
			}
		}
	}
}

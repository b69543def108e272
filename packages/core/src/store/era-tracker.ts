/** What a response of the key-value store means, by the era that it carries. */
export enum EraVerdict {
	/** The response may be used. */
	Current = 'current',
	/** The response was sent before the store returned from a copy; it must be ignored. */
	Outdated = 'outdated',
	/** The call named a revision or a lease of an earlier era; its outcome is unknown. */
	Crossed = 'crossed',
}

/** Judgement of a response. */
export type EraJudgement = {
	readonly verdict: EraVerdict;
	/** Whether the response is the first one of a newer era: the store has returned from a copy. */
	readonly hasRisen: boolean;
};

/**
 * Greatest era that can be used. Fencing tokens, which are integers of 53 bits on the wire, hold the era and a revision.
 */
export const maxEra = (2 ** 28) - 1;

/** Returns the era that a text states, or `undefined` if it is not an integer from 0 to {@link maxEra}. */
export function parseEra(text: string): number | undefined {
	const era = /^\d{1,10}$/.test(text) ? Number(text) : undefined;
	return era === undefined || era > maxEra ? undefined : era;
}

/**
 * Tracks the era of the key-value store: a number that rises when the store has lost its latest changes and returned from a copy.
 * Revisions and ids of leases are given out again in a new era, so they are only comparable within one.
 */
export class EraTracker {
	#newest: number | undefined;

	/** Newest era seen; `undefined` while no response carried one. */
	get newest(): number | undefined {
		return this.#newest;
	}

	/** Returns whether a revision or a lease of the given era can no longer be used in calls. */
	isOutdated(era: number | undefined): boolean {
		return era !== undefined && this.#newest !== undefined && era < this.#newest;
	}

	/**
	 * Judges a response.
	 *
	 * @param era - Era that the response carries, if any.
	 * @param basedOn - Era of the revisions and leases that the call named; `undefined` if it named none, or if their era is unknown.
	 */
	judge(era: number | undefined, basedOn?: number): EraJudgement {
		if (this.isOutdated(era)) {
			return {verdict: EraVerdict.Outdated, hasRisen: false};
		}

		const hasRisen = era !== undefined && this.#newest !== undefined && era > this.#newest;
		this.#newest = era ?? this.#newest;
		return {verdict: this.isOutdated(basedOn) ? EraVerdict.Crossed : EraVerdict.Current, hasRisen};
	}
}

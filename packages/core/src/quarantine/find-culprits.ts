import * as crashRow from './crash-row.js';

/** When a part is held to end endpoints. Times are in milliseconds. */
export type CulpritLimits = {
	/** Number of incarnations that ended with a response in progress on the part. */
	readonly minEnds: number;
	/** Number of different requests among these. */
	readonly minRequests: number;
	/** Number of different moments of the ends; endpoints that are killed together end at one. */
	readonly minMoments: number;
	/** Number of ends, requests and moments for a part that requests completed shortly before the first of the ends. */
	readonly minEndsOfSound: number;
	/** Number of ends if those count at which no response on the part had begun, too. */
	readonly minEndsUnbegun: number;
	/** Time between two moments. */
	readonly momentMs: number;
	/** Time before an end within which a completed request shows that the part is sound. */
	readonly soundMs: number;
};

/**
 * The users' rules count requests that are sent three seconds after the fifth end. Of endpoints that are killed together, some VM notices each
 * within some milliseconds.
 */
export const defaultCulpritLimits: CulpritLimits = {
	minEnds: 3, minRequests: 2, minMoments: 3, minEndsOfSound: 5, minEndsUnbegun: 5, momentMs: 50, soundMs: 30_000,
};

/** A prompt part that ends endpoints, as far as the evidence goes. */
export type Culprit = {
	readonly part: string;
	/** Parts that all its interrupted requests had as well; requests without them may be innocent. */
	readonly companions: readonly string[];
	/** Number of incarnations that ended. */
	readonly ends: number;
	/** Number of different requests. */
	readonly requests: number;
	readonly lastEndAt: number;
};

/** Share of the ends of a part that another one of fewer requests must explain to be held the cause. */
const minShareOfEnds = 0.5;

/** Returns when a request with a part was last completed; `-Infinity` if none is known. */
export type SoundTime = (part: string) => number;

/**
 * Finds the prompt parts that explain why endpoints ended: those that were in progress at several ends and that no request
 * completed in between. A part that was sound shortly before needs more ends that no other part explains.
 */
export function findCulprits(rows: readonly crashRow.CrashRow[], soundAt: SoundTime, limits: CulpritLimits = defaultCulpritLimits): Culprit[] {
	const suspects = [...groupByPart(rows, soundAt)]
		.filter(([, partRows]) => partRows.length >= limits.minEnds)
		.map(([part, partRows]) => new Suspect(part, partRows, soundAt, limits))
		.filter(suspect => suspect.ends >= limits.minEnds);
	const explained = new Set<string>();
	const culprits: Culprit[] = [];
	for (;;) {
		const qualified = suspects.filter(suspect => suspect.explainsMoreThan(explained)).sort(compareSuspects);
		const [strongest] = qualified;
		if (strongest === undefined) {
			return culprits;
		}

		const suspect = qualified.find(other => other.isNarrowerThan(strongest)) ?? strongest;
		culprits.push(suspect.describe());
		for (const row of suspect.rows) {
			explained.add(crashRow.incarnationKey(row.endpoint));
		}
	}
}

/** Sorts parts of many ends first, then those that were not sound before others, then by name, so that all VMs decide alike. */
function compareSuspects(a: Suspect, b: Suspect): number {
	return (b.ends - a.ends) || (Number(a.isKnownSound) - Number(b.isKnownSound)) || (a.part < b.part ? -1 : 1);
}

function groupByPart(rows: readonly crashRow.CrashRow[], soundAt: SoundTime): Map<string, crashRow.CrashRow[]> {
	const groups = new Map<string, crashRow.CrashRow[]>();
	for (const row of rows) {
		for (const part of new Set(row.sharedParts)) {
			if (row.at > soundAt(part)) {
				const group = groups.get(part);
				if (group === undefined) {
					groups.set(part, [row]);
				} else {
					group.push(row);
				}
			}
		}
	}

	return groups;
}

/** A part with the interrupted requests that had it, since the last one that was completed. */
class Suspect {
	readonly isKnownSound: boolean;
	/** Number of incarnations that ended with a request on the part. */
	readonly ends: number;
	readonly #firstAt: number;

	constructor(
		readonly part: string,
		readonly rows: readonly crashRow.CrashRow[],
		private readonly soundAt: SoundTime,
		private readonly limits: CulpritLimits,
	) {
		this.#firstAt = Math.min(...rows.map(row => row.at));
		this.isKnownSound = this.#wasSound(part);
		this.ends = this.#count(rows).ends;
	}

	/**
	 * Returns whether the part explains most ends of another one although it stands only in some of its requests: before a part that
	 * many requests share is first sound, it stands in all requests that a part of a few of them interrupts.
	 */
	isNarrowerThan(other: Suspect): boolean {
		return this.ends >= other.ends * minShareOfEnds && this.rows.length < other.rows.length
			&& this.rows.every(row => row.sharedParts.includes(other.part));
	}

	/** Returns whether the part explains enough ends beyond those that other parts explain. */
	explainsMoreThan(explained: ReadonlySet<string>): boolean {
		const {minEnds, minRequests, minMoments, minEndsOfSound, minEndsUnbegun} = this.limits;
		const rows = this.rows.filter(row => !explained.has(crashRow.incarnationKey(row.endpoint)));
		const begun = this.#count(rows.filter(row => row.hasBegun));
		return this.isKnownSound
			? hasAtLeast(begun, minEndsOfSound, minEndsOfSound, minEndsOfSound)
			: hasAtLeast(begun, minEnds, minRequests, minMoments) || hasAtLeast(this.#count(rows), minEndsUnbegun, minEnds, minMoments);
	}

	describe(): Culprit {
		const begun = this.rows.filter(row => row.hasBegun);
		const [first, ...others] = begun.length > 0 ? begun : this.rows;
		const {ends, requests} = this.#count(this.rows);
		return {
			part: this.part,
			companions: first!.sharedParts.filter(part =>
				part !== this.part && !this.#wasSound(part) && others.every(row => row.sharedParts.includes(part))),
			ends,
			requests,
			lastEndAt: Math.max(...this.rows.map(row => row.at)),
		};
	}

	#wasSound(part: string): boolean {
		return this.soundAt(part) >= this.#firstAt - this.limits.soundMs;
	}

	#count(rows: readonly crashRow.CrashRow[]): EndCount {
		// An end is as early as the first VM noticed it; others may be slow, or notice only that an endpoint did not outlive a request.
		const endedAt = new Map<string, number>();
		for (const {endpoint, at} of rows) {
			const key = crashRow.incarnationKey(endpoint);
			endedAt.set(key, Math.min(at, endedAt.get(key) ?? Infinity));
		}

		return {
			ends: endedAt.size,
			requests: new Set(rows.map(row => row.requestKey)).size,
			moments: countMoments([...endedAt.values()], this.limits.momentMs),
		};
	}
}

type EndCount = {
	readonly ends: number;
	readonly requests: number;
	readonly moments: number;
};

function hasAtLeast({ends, requests, moments}: EndCount, minEnds: number, minRequests: number, minMoments: number): boolean {
	return ends >= minEnds && requests >= minRequests && moments >= minMoments;
}

/** Counts moments that are at least a given time apart. */
function countMoments(times: readonly number[], momentMs: number): number {
	let count = 0;
	let momentAt = -Infinity;
	for (const at of [...times].sort((a, b) => a - b)) {
		if (at - momentAt >= momentMs) {
			count += 1;
			momentAt = at;
		}
	}

	return count;
}

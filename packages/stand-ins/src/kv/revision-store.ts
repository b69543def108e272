import {Buffer} from 'node:buffer';

/** A stored key-value pair; key and value are base64. */
export type StoredPair = {
	readonly key: string;
	readonly value: string;
	readonly createRevision: number;
	readonly modRevision: number;
	readonly version: number;
	/** Id of the lease that the key is attached to; `0` for none. */
	readonly lease: string;
};

/** A change at one revision; `pair` is absent for a deletion. */
export type StoredChange = {
	readonly revision: number;
	readonly key: string;
	readonly pair?: StoredPair;
};

/** A range of base64 keys from `key` up to but without `end`; without `end` it is the single key. */
export type KeyRange = {
	readonly key: string;
	readonly end?: string;
};

/** Contents of a store at one time. */
export type RevisionStoreCopy = {
	readonly revision: number;
	readonly pairs: ReadonlyMap<string, StoredPair>;
};

/** Maximum number of past changes that are kept for watches. */
const historyLimit = 10_000;

/** Returns whether a key lies in a range. */
export function isInRange(key: string, range: KeyRange): boolean {
	if (range.end === undefined) {
		return key === range.key;
	}

	const bytes = Buffer.from(key, 'base64');
	const end = Buffer.from(range.end, 'base64');
	const isUnbounded = end.length === 1 && end[0] === 0;
	return bytes.compare(Buffer.from(range.key, 'base64')) >= 0 && (isUnbounded || bytes.compare(end) < 0);
}

/** Key-value pairs with revisions and a bounded history of changes. */
export class RevisionStore {
	#revision = 1;
	#pairs = new Map<string, StoredPair>();
	#history: StoredChange[] = [];

	/** Revision of the last change. */
	get revision(): number {
		return this.#revision;
	}

	/** Lowest revision that a watch can start from. */
	get oldestRevision(): number {
		return this.#history.length < historyLimit ? 1 : this.#history[0]!.revision;
	}

	/** Returns the pair of a key. */
	get(key: string): StoredPair | undefined {
		return this.#pairs.get(key);
	}

	/** Returns the pairs in a range, sorted by key. */
	range(range: KeyRange): StoredPair[] {
		return [...this.#pairs.values()]
			.filter(pair => isInRange(pair.key, range))
			.sort((a, b) => Buffer.from(a.key, 'base64').compare(Buffer.from(b.key, 'base64')));
	}

	/** Writes a pair. */
	put(key: string, value: string, lease: string): StoredChange {
		const previous = this.#pairs.get(key);
		this.#revision += 1;
		const pair: StoredPair = {
			key,
			value,
			lease,
			createRevision: previous?.createRevision ?? this.#revision,
			modRevision: this.#revision,
			version: (previous?.version ?? 0) + 1,
		};
		this.#pairs.set(key, pair);
		return this.#appendToHistory({revision: this.#revision, key, pair});
	}

	/** Deletes a key; returns `undefined` when it is absent. */
	delete(key: string): StoredChange | undefined {
		if (!this.#pairs.delete(key)) {
			return undefined;
		}

		this.#revision += 1;
		return this.#appendToHistory({revision: this.#revision, key});
	}

	/** Returns the keys that are attached to a lease. */
	keysOfLease(lease: string): string[] {
		return [...this.#pairs.values()].filter(pair => pair.lease === lease).map(pair => pair.key);
	}

	/** Returns the kept changes from a revision on, inclusive. */
	changesFrom(revision: number): StoredChange[] {
		return this.#history.filter(change => change.revision >= revision);
	}

	/** Returns a copy of the contents; later changes do not affect it. */
	copy(): RevisionStoreCopy {
		return {revision: this.#revision, pairs: new Map(this.#pairs)};
	}

	/** Sets the contents and the revision back to a copy; later revisions are given out again. */
	restore(copy: RevisionStoreCopy): void {
		this.#revision = copy.revision;
		this.#pairs = new Map(copy.pairs);
		this.#history = this.#history.filter(change => change.revision <= copy.revision);
	}

	#appendToHistory(change: StoredChange): StoredChange {
		this.#history.push(change);
		if (this.#history.length > historyLimit) {
			this.#history = this.#history.slice(historyLimit / 10);
		}

		return change;
	}
}

/** Estimated memory of one piece, in bytes. */
export const bytesPerPiece = 288;
/** Estimated memory of one epoch that holds a piece, in bytes. */
export const bytesPerHolder = 8;

/** Number of interned salts beyond the number of pieces at which the salts are cleared. */
const maxUnusedSalts = 16;

/** State of one piece. */
export type PieceState = {
	/** Account and weights; `undefined` until a request of this router contains the piece. */
	salt: string | undefined;
	/** Numbers of the engine epochs that hold the piece. */
	holders: number[];
};

/** Pieces by key in bounded memory, with least-recently-used eviction. */
export class PieceTable {
	readonly #maxBytes: number;
	readonly #pieces = new Map<string, PieceState>();
	readonly #salts = new Map<string, string>();
	#holderCount = 0;
	#saltConflicts = 0;

	/** @param maxBytes - Memory limit, as estimated by `bytesPerPiece` and `bytesPerHolder`. */
	constructor(maxBytes: number) {
		this.#maxBytes = maxBytes;
	}

	/** Estimated bytes in use. */
	get bytes(): number {
		return (this.#pieces.size * bytesPerPiece) + (this.#holderCount * bytesPerHolder);
	}

	/** Number of pieces. */
	get size(): number {
		return this.#pieces.size;
	}

	/** Number of times that a piece was requested with a salt other than its own. */
	get saltConflicts(): number {
		return this.#saltConflicts;
	}

	/** Returns the piece with a key, if it is known. */
	get(key: string): PieceState | undefined {
		return this.#pieces.get(key);
	}

	/** Returns the piece with a key and creates it if needed; `undefined` if it belongs to another account or other weights. */
	getOrCreate(key: string, salt?: string): PieceState | undefined {
		let state = this.#pieces.get(key);
		if (state === undefined) {
			state = {salt: undefined, holders: []};
			this.#pieces.set(key, state);
		}

		if (salt !== undefined && !this.bindSalt(state, salt)) {
			return undefined;
		}

		return state;
	}

	/** Binds a piece to its salt (account and weights) at first use; returns whether the given salt is that of the piece. */
	bindSalt(state: PieceState, salt: string): boolean {
		state.salt ??= this.#internSalt(salt);
		if (state.salt === salt) {
			return true;
		}

		this.#saltConflicts += 1;
		return false;
	}

	/** Adds an epoch that holds a piece. */
	addHolder(state: PieceState, epoch: number): void {
		state.holders.push(epoch);
		this.#holderCount += 1;
	}

	/** Removes the epochs from a piece that the predicate rejects. */
	filterHolders(state: PieceState, predicate: (epoch: number) => boolean): void {
		const kept = state.holders.filter(epoch => predicate(epoch));
		this.#holderCount -= state.holders.length - kept.length;
		state.holders = kept;
	}

	/** Removes a piece. */
	delete(key: string): void {
		this.#holderCount -= this.#pieces.get(key)?.holders.length ?? 0;
		this.#pieces.delete(key);
	}

	/** Marks a piece as the most recently used. */
	touch(key: string, state: PieceState): void {
		this.#pieces.delete(key);
		this.#pieces.set(key, state);
	}

	/** Evicts the least recently used pieces until memory is within its limit. */
	evict(): void {
		for (const key of this.#pieces.keys()) {
			if (this.bytes <= this.#maxBytes) {
				break;
			}

			this.delete(key);
		}

		if (this.#salts.size > this.#pieces.size + maxUnusedSalts) {
			this.#salts.clear();
		}
	}

	#internSalt(salt: string): string {
		const known = this.#salts.get(salt);
		if (known !== undefined) {
			return known;
		}

		this.#salts.set(salt, salt);
		return salt;
	}
}

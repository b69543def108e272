/** Estimated bytes of one piece and of one engine that holds it. */
export const bytesPerPiece = 288;
export const bytesPerHolder = 8;

/** Salts that may stay without a piece before they are dropped. */
const maxUnusedSalts = 16;

/** One piece, and which epochs of engines hold it. */
export type PieceState = {
	/** Account and weights; absent until a request of this router names the piece. */
	salt: string | undefined;
	/** Numbers of the epochs that hold the piece. */
	holders: number[];
};

/** Pieces by key in bounded memory; those that were not used for longest go first. */
export class PieceTable {
	readonly #maxBytes: number;
	readonly #pieces = new Map<string, PieceState>();
	readonly #salts = new Map<string, string>();
	#holderCount = 0;
	#saltConflicts = 0;

	/** @param maxBytes - Bound on memory, as estimated by `bytesPerPiece` and `bytesPerHolder`. */
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

	/** Number of times that a key was asked for with another salt than its own. */
	get saltConflicts(): number {
		return this.#saltConflicts;
	}

	/** Returns the piece of a key, if it is known. */
	get(key: string): PieceState | undefined {
		return this.#pieces.get(key);
	}

	/** Returns the piece of a key, new if need be; `undefined` when it belongs to another account or other weights. */
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

	/** Binds a piece to account and weights at its first use; returns whether they are the piece's own. */
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

	/** Keeps only some of the epochs that hold a piece. */
	filterHolders(state: PieceState, keeps: (epoch: number) => boolean): void {
		const kept = state.holders.filter(epoch => keeps(epoch));
		this.#holderCount -= state.holders.length - kept.length;
		state.holders = kept;
	}

	/** Drops a piece. */
	delete(key: string): void {
		this.#holderCount -= this.#pieces.get(key)?.holders.length ?? 0;
		this.#pieces.delete(key);
	}

	/** Notes the use of a piece. */
	touch(key: string, state: PieceState): void {
		this.#pieces.delete(key);
		this.#pieces.set(key, state);
	}

	/** Drops the pieces that were not used for longest until memory is within its bound. */
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

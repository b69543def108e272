/** A cached piece of a prompt. Prompts are cut into pieces, which are cached one by one. */
export type CachedPiece = {
	readonly key: string;
	readonly salt: string;
	readonly tokens: number;
	/** Account of the request that computed the piece. */
	readonly account: string;
	/** Model weights of the request that computed the piece. */
	readonly weights: string;
};

/** Listener for changes of the cache. */
export type PrefixCacheListener = {
	onStored(key: string): void;
	onEvicted(key: string): void;
	onCleared(): void;
};

/** Prefix cache with a capacity in tokens; the least recently used pieces are evicted. */
export class PrefixCache {
	/** Pieces by salt and key, least recently used first. */
	readonly #pieces = new Map<string, CachedPiece>();
	#tokenCount = 0;

	constructor(private readonly limitTokens: number, private readonly listener: PrefixCacheListener) {}

	/** Number of cached tokens. */
	get tokenCount(): number {
		return this.#tokenCount;
	}

	/** Returns the cached pieces before the first missing one, and marks them as used. */
	match(salt: string, keys: readonly string[]): CachedPiece[] {
		const hits: CachedPiece[] = [];
		for (const key of keys) {
			const piece = this.get(salt, key);
			if (!piece) {
				break;
			}

			this.#markUsed(piece);
			hits.push(piece);
		}

		return hits;
	}

	/** Returns a piece without marking it as used. */
	get(salt: string, key: string): CachedPiece | undefined {
		return this.#pieces.get(createMapKey(salt, key));
	}

	/** Returns the first piece with a key, whatever its salt. */
	getUnderAnySalt(key: string): CachedPiece | undefined {
		return [...this.#pieces.values()].find(piece => piece.key === key);
	}

	/** Stores a piece and evicts the least recently used ones beyond the capacity. */
	store(piece: CachedPiece): void {
		if (this.get(piece.salt, piece.key)) {
			this.#markUsed(piece);
			return;
		}

		this.#pieces.set(createMapKey(piece.salt, piece.key), piece);
		this.#tokenCount += piece.tokens;
		this.listener.onStored(piece.key);
		while (this.#tokenCount > this.limitTokens) {
			this.#evict(this.#pieces.values().next().value!);
		}
	}

	/** Evicts all pieces that were computed with the given weights. */
	evictWeights(weights: string): void {
		for (const piece of [...this.#pieces.values()].filter(piece => piece.weights === weights)) {
			this.#evict(piece);
		}
	}

	/** Removes all pieces. */
	clear(): void {
		this.#pieces.clear();
		this.#tokenCount = 0;
		this.listener.onCleared();
	}

	#evict(piece: CachedPiece): void {
		this.#pieces.delete(createMapKey(piece.salt, piece.key));
		this.#tokenCount -= piece.tokens;
		this.listener.onEvicted(piece.key);
	}

	#markUsed(piece: CachedPiece): void {
		const mapKey = createMapKey(piece.salt, piece.key);
		const stored = this.#pieces.get(mapKey)!;
		this.#pieces.delete(mapKey);
		this.#pieces.set(mapKey, stored);
	}
}

function createMapKey(salt: string, key: string): string {
	return `${salt}\n${key}`;
}

/** A cached piece of a prompt. */
export type CachedPiece = {
	readonly key: string;
	readonly salt: string;
	readonly tokens: number;
	/** Account and weights of the request that computed it. */
	readonly account: string;
	readonly weights: string;
};

/** Told of changes of the cache. */
export type PrefixCacheListener = {
	onStored(key: string): void;
	onEvicted(key: string): void;
	onCleared(): void;
};

/** Prefix cache with a limit in tokens; the least recently used pieces are evicted. */
export class PrefixCache {
	/** In order of last use, oldest first. */
	readonly #pieces = new Map<string, CachedPiece>();
	#tokens = 0;

	constructor(private readonly limitTokens: number, private readonly listener: PrefixCacheListener) {}

	/** Tokens that are cached. */
	get tokens(): number {
		return this.#tokens;
	}

	/** Returns the cached pieces up to the first that is missing, and marks them as used. */
	match(salt: string, keys: readonly string[]): CachedPiece[] {
		const hits: CachedPiece[] = [];
		for (const key of keys) {
			const piece = this.get(salt, key);
			if (!piece) {
				break;
			}

			this.#touch(piece);
			hits.push(piece);
		}

		return hits;
	}

	/** Returns a piece without marking it as used. */
	get(salt: string, key: string): CachedPiece | undefined {
		return this.#pieces.get(nameOf(salt, key));
	}

	/** Returns a piece of a key under any salt. */
	anyOf(key: string): CachedPiece | undefined {
		return [...this.#pieces.values()].find(piece => piece.key === key);
	}

	/** Stores a piece and evicts others beyond the limit. */
	store(piece: CachedPiece): void {
		if (this.get(piece.salt, piece.key)) {
			this.#touch(piece);
			return;
		}

		this.#pieces.set(nameOf(piece.salt, piece.key), piece);
		this.#tokens += piece.tokens;
		this.listener.onStored(piece.key);
		while (this.#tokens > this.limitTokens) {
			this.#evict(this.#pieces.values().next().value!);
		}
	}

	/** Evicts all pieces of some weights. */
	dropWeights(weights: string): void {
		for (const piece of [...this.#pieces.values()].filter(piece => piece.weights === weights)) {
			this.#evict(piece);
		}
	}

	/** Drops everything. */
	clear(): void {
		this.#pieces.clear();
		this.#tokens = 0;
		this.listener.onCleared();
	}

	#evict(piece: CachedPiece): void {
		this.#pieces.delete(nameOf(piece.salt, piece.key));
		this.#tokens -= piece.tokens;
		this.listener.onEvicted(piece.key);
	}

	#touch(piece: CachedPiece): void {
		const name = nameOf(piece.salt, piece.key);
		const held = this.#pieces.get(name)!;
		this.#pieces.delete(name);
		this.#pieces.set(name, held);
	}
}

function nameOf(salt: string, key: string): string {
	return `${salt}\n${key}`;
}

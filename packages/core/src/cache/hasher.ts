import xxhash, {type XXHashAPI} from 'xxhash-wasm';

/** xxHash functions; created once at start and passed to what hashes. */
export type Hasher = XXHashAPI;

/** Loads the hash functions. */
export async function createHasher(): Promise<Hasher> {
	return xxhash();
}

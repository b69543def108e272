import createXxhash from 'xxhash-wasm';

const xxhash = await createXxhash();

/** Returns the 32-bit xxhash of a text as a non-negative integer. */
export function hash32(text: string, seed = 0): number {
	return xxhash.h32(text, seed);
}

/** Returns the 64-bit xxhash of a text as 16 digits of lower-case hex. */
export function hash64Hex(text: string, seed = 0n): string {
	return xxhash.h64ToString(text, seed);
}

/** Returns the 64-bit xxhash of a text. */
export function hash64(text: string, seed = 0n): bigint {
	return xxhash.h64(text, seed);
}

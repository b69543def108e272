import createXxhash from 'xxhash-wasm';

const xxhash = await createXxhash();

/** Returns the 32-bit xxhash of a string as a non-negative integer. */
export function hash32(text: string, seed = 0): number {
	return xxhash.h32(text, seed);
}

/** Returns the 64-bit xxhash of a string as 16 lower-case hexadecimal digits. */
export function hash64Hex(text: string, seed = 0n): string {
	return xxhash.h64ToString(text, seed);
}

/** Returns the 64-bit xxhash of a string. */
export function hash64(text: string, seed = 0n): bigint {
	return xxhash.h64(text, seed);
}

import * as hash from '../util/hash.js';

/** Longest key that is kept as text, which is easier to find in logs; part ids come from callers and have any length. */
const maxTextLength = 48;

/** Returns the key of a prompt part of a model's requests, of bounded length. */
export function createPartKey(model: string, id: string): string {
	const text = `${model}/${id}`;
	return text.length <= maxTextLength ? text : hash.hash64Hex(text);
}

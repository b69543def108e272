import * as hash from '../util/hash.js';

/** Longest key that is kept as text, which is easier to find in logs; part ids come from callers and have any length. */
const maxTextLength = 48;

/** Largest number of shared parts that are considered, the first ones; callers may send any number. */
const maxSharedParts = 32;

/** Keys of the parts of a prompt. */
export type PromptKeys = {
	/** Keys of the parts that other requests may share, in their order. */
	readonly sharedParts: readonly string[];
	/** Key of the request: of its last part, which is never the cause, and its id, since callers may send equal prompts; absent without parts. */
	readonly requestKey?: string;
};

/** Returns the key of a prompt part of a model's requests, of bounded length. */
export function createPartKey(model: string, id: string): string {
	return toPartKey(`${model}/${id}`);
}

/** Returns the key of a prompt part that is given as `MODEL/ID` or by its key. */
export function toPartKey(text: string): string {
	return text.length <= maxTextLength ? text : hash.hash64Hex(text);
}

/** Returns the keys of the parts of a prompt, given in their order. */
export function createPromptKeys(model: string, ids: readonly string[], requestId: string): PromptKeys {
	const keys = ids.map(id => createPartKey(model, id));
	const last = keys.at(-1);
	return {sharedParts: keys.slice(0, -1).slice(0, maxSharedParts), requestKey: last === undefined ? undefined : hash.hash64Hex(`${last} ${requestId}`)};
}

import type * as endpointLoads from './endpoint-loads.js';

/** A prefix of a prompt that other requests share, up to the end of one part. */
export type SharedPrefix = {
	/** Key of its last part in a cache namespace. */
	readonly key: string;
	/** Tokens of all its parts. */
	readonly tokens: number;
};

/**
 * Minimum length of a shared prefix whose location is tracked and that is fetched from and saved to the cache store, in tokens.
 * Shorter ones take less time to compute than to be told to the other VMs.
 */
export const minTrackedPrefixTokens = 1000;

/** Returns the key of a prompt part in a cache namespace. */
export function partKey(cacheNamespace: string, part: endpointLoads.PromptPart): string {
	return `${cacheNamespace}/${part.id}`;
}

/**
 * Lists the shared prefixes of a prompt that are long enough to be tracked, shortest first.
 *
 * @param sharedParts - Number of leading parts that other requests share.
 */
export function listSharedPrefixes(
	cacheNamespace: string,
	parts: readonly endpointLoads.PromptPart[],
	sharedParts: number,
): SharedPrefix[] {
	const prefixes: SharedPrefix[] = [];
	let tokens = 0;
	for (const part of parts.slice(0, sharedParts)) {
		tokens += part.tokens;
		if (tokens >= minTrackedPrefixTokens) {
			prefixes.push({key: partKey(cacheNamespace, part), tokens});
		}
	}

	return prefixes;
}

/**
 * Returns the length of the longest prefix whose last part is cached, in tokens. Since a part is only cached after all parts
 * before it, and those are used at least as often, they count as cached even if nothing is known of them.
 */
export function countCachedTokens(prefixes: readonly SharedPrefix[], isCached: (key: string) => boolean): number {
	return prefixes.findLast(prefix => isCached(prefix.key))?.tokens ?? 0;
}

import type * as ids from '../model/ids.js';
import type * as prefixKeys from './prefix-keys.js';

/** What happened to a cached piece of an engine. */
export enum CacheChange {
	Stored = 'stored',
	Evicted = 'evicted',
	/** Everything was dropped. */
	Cleared = 'cleared',
}

/** One cache event of an engine, as it was received. */
export type EngineCacheEvent = {
	readonly incarnation: ids.Incarnation;
	/** Grows by one with each event of an incarnation. */
	readonly sequence: number;
	readonly change: CacheChange;
	/** Key of the piece; not used for `cleared`. */
	readonly key: string;
};

/** What an answer of an engine shows about its cache. */
export type AnswerCacheReport = {
	readonly endpoint: ids.EndpointId;
	readonly incarnation: ids.Incarnation;
	/** Account and weights of the request, as `cacheSalt` gives them. */
	readonly salt: string;
	readonly pieces: readonly prefixKeys.PrefixPiece[];
	/** Prompt tokens that the engine took from its cache. */
	readonly cachedTokens: number;
};

/** How a cache event was taken. */
export enum CacheEventOutcome {
	Applied = 'applied',
	/** Applied; events before it are missing, and what they may have changed is void. */
	AppliedAfterGap = 'applied_after_gap',
	/** Not of the present incarnation, or received before. */
	Ignored = 'ignored',
}

/** Tokens of a prompt that an engine is believed to hold. */
export type CacheHit = {
	readonly endpoint: ids.EndpointId;
	readonly incarnation: ids.Incarnation;
	/** Leading tokens that are confirmed. */
	readonly tokens: number;
	/** Leading tokens when pieces that a gap made doubtful count too; at least `tokens`. */
	readonly doubtfulTokens: number;
};

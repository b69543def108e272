import type * as ids from '../model/ids.js';
import type * as prefixKeys from './prefix-keys.js';

/** Change of a piece in an engine's cache. */
export enum CacheChange {
	Stored = 'stored',
	Evicted = 'evicted',
	/** All pieces were dropped. */
	Cleared = 'cleared',
}

/** One received cache event of an engine. */
export type EngineCacheEvent = {
	readonly incarnation: ids.Incarnation;
	/** Increases by one with each event of an incarnation. */
	readonly sequence: number;
	readonly change: CacheChange;
	/** Key of the piece; ignored for `cleared`. */
	readonly key: string;
};

/** Cache information from the response of an engine. */
export type ResponseCacheReport = {
	readonly endpoint: ids.EndpointId;
	readonly incarnation: ids.Incarnation;
	/** Account and weights of the request, as returned by `cacheSalt`. */
	readonly salt: string;
	readonly pieces: readonly prefixKeys.PrefixPiece[];
	/** Prompt tokens that the engine took from its cache. */
	readonly cachedTokens: number;
};

/** Outcome of applying a cache event. */
export enum CacheEventOutcome {
	Applied = 'applied',
	/** Applied; earlier events are missing, so the pieces known before are unconfirmed. */
	AppliedAfterGap = 'applied_after_gap',
	/** Not of the current incarnation, or already received. */
	Ignored = 'ignored',
}

/** Prompt tokens that an engine is expected to have cached. */
export type CacheHit = {
	readonly endpoint: ids.EndpointId;
	readonly incarnation: ids.Incarnation;
	/** Leading tokens that are confirmed as cached. */
	readonly tokens: number;
	/** Leading tokens including pieces that are unconfirmed since an event gap; at least `tokens`. */
	readonly tokensWithUnconfirmed: number;
};

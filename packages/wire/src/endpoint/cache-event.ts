import type * as core from '@bluebellmast/core';

/** How the contents of an engine's KV cache changed. */
export enum CacheEventType {
	Stored = 'stored',
	Evicted = 'evicted',
	/** All entries were removed. */
	Cleared = 'cleared',
}

/**
 * Data of one server-sent event of `GET /v1/cache-events`. Events may be delayed or lost:
 * a gap in `sequence` means that events were lost.
 */
export type CacheEvent = {
	readonly incarnation: core.model.Incarnation;
	readonly sequence: number;
	readonly type: CacheEventType;
	/** Key of the prefix piece, as in `PrefixPiece`; empty for `cleared`. */
	readonly key: string;
};

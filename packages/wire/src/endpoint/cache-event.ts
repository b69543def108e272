import type * as core from '@bluebellmast/core';

/** What happened to cached blocks of an engine. */
export enum CacheEventType {
	Stored = 'stored',
	Evicted = 'evicted',
	/** Everything was dropped. */
	Cleared = 'cleared',
}

/**
 * Data of one server-sent event of `GET /v1/cache-events`. Events come late, and may be missing:
 * a jump in `sequence` is a gap.
 */
export type CacheEvent = {
	readonly incarnation: core.model.Incarnation;
	readonly sequence: number;
	readonly type: CacheEventType;
	/** Key of the prefix piece; empty for `cleared`. */
	readonly key: string;
};

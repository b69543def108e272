import type * as purify from 'purify-ts';
import type * as endpointProtocol from './endpoint-protocol.js';

/** A change of a prompt part in a cache store. */
export type CacheStoreChange = {
	readonly cacheNamespace: string;
	readonly partId: string;
	/** Whether the part was stored; otherwise it, or the end of it, was evicted. */
	readonly isStored: boolean;
	/** Number of tokens of the part that the store has after the change. */
	readonly tokens: number;
};

/** Changes of a cache store after a position. */
export type CacheStoreChanges = {
	/** Number that differs for each start of the store. */
	readonly incarnation: number;
	/** Position to pass to the next `poll`. */
	readonly nextPosition: number;
	/** Whether changes between the position and the first of these were lost. */
	readonly hasGap: boolean;
	readonly changes: readonly CacheStoreChange[];
};

/** Follows the changes of cache stores by long polling. */
export interface CacheStoreChangeFeed { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Returns the changes after the position `since`; waits up to `waitMs` milliseconds for the first. */
	poll(
		address: string,
		since: number,
		waitMs: number,
	): Promise<purify.Either<endpointProtocol.EndpointCallError, CacheStoreChanges>>;
}

import type * as purify from 'purify-ts';
import type * as endpointProtocol from './endpoint-protocol.js';

/** A change in what a cache store has. */
export type CacheStoreChange = {
	readonly cacheNamespace: string;
	readonly partId: string;
	/** Whether the store took the part; otherwise it dropped the part or the end of it. */
	readonly isStored: boolean;
	/** Tokens of the part that the store has now. */
	readonly tokens: number;
};

/** Changes of a cache store since a position. */
export type CacheStoreChanges = {
	/** Drawn anew at each start of the store. */
	readonly incarnation: number;
	/** Position from which the next call goes on. */
	readonly nextPosition: number;
	/** Whether changes before these were lost. */
	readonly hasGap: boolean;
	readonly changes: readonly CacheStoreChange[];
};

/** Reads the news of cache stores. */
export interface CacheStoreChangeFeed { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Waits for changes after a position, for `waitMs` milliseconds at most. */
	poll(
		address: string,
		since: number,
		waitMs: number,
	): Promise<purify.Either<endpointProtocol.EndpointCallError, CacheStoreChanges>>;
}

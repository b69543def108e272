import type * as endpointEntry from '../fleet/endpoint-entry.js';

/** A request that an incarnation of an endpoint interrupted, as evidence for a prompt part that ends endpoints. */
export type CrashRow = {
	readonly endpoint: endpointEntry.EndpointIncarnation;
	/** When the request was interrupted, in milliseconds of a clock that includes suspensions of the VM. */
	readonly at: number;
	/** Keys of the parts of its prompt that other requests may share, in their order. */
	readonly sharedParts: readonly string[];
	/** Key of the request. */
	readonly requestKey: string;
	/** Whether its response had begun. */
	readonly hasBegun: boolean;
	/** Whether `at` rests on wall clocks, which may be wrong, so that a row with a measured time replaces this one. */
	readonly isEstimated?: boolean;
};

/** Returns a text that identifies an incarnation. */
export function incarnationKey({id, bornAt}: endpointEntry.EndpointIncarnation): string {
	return `${id}@${bornAt}`;
}

/** Returns a text that identifies a row: an incarnation interrupts a request once. */
export function rowKey({endpoint, requestKey}: Pick<CrashRow, 'endpoint' | 'requestKey'>): string {
	return `${incarnationKey(endpoint)} ${requestKey}`;
}

import type * as endpointEntry from '../fleet/endpoint-entry.js';

/** A request that an incarnation of an endpoint interrupted, as evidence for a prompt part that ends endpoints. */
export type CrashRow = {
	readonly endpoint: endpointEntry.EndpointIncarnation;
	/** When the request was interrupted, in milliseconds of a clock that includes suspensions of the VM. */
	readonly at: number;
	/** Keys of the parts of its prompt that other requests may share, in their order. */
	readonly sharedParts: readonly string[];
	/** Key of the last part of its prompt. */
	readonly ownPart: string;
	/** Whether its response had begun. */
	readonly hasBegun: boolean;
};

/** Returns a text that identifies an incarnation. */
export function incarnationKey({id, bornAt}: endpointEntry.EndpointIncarnation): string {
	return `${id}@${bornAt}`;
}

/** Returns a text that identifies a row: an incarnation interrupts requests with the same last part once. */
export function rowKey({endpoint, ownPart}: Pick<CrashRow, 'endpoint' | 'ownPart'>): string {
	return `${incarnationKey(endpoint)} ${ownPart}`;
}

import type * as endpointEntry from '../fleet/endpoint-entry.js';
import type * as crashRow from './crash-row.js';

/** A prompt part of a request that was completed. */
export type SoundPart = {
	readonly part: string;
	/** Time since then, in milliseconds. */
	readonly ageMs: number;
};

/** An incarnation of an endpoint that lived on after it interrupted requests: a connection to it was open all the while. */
export type Survivor = {
	readonly endpoint: endpointEntry.EndpointIncarnation;
	/** Time since the connection was opened, and since a response arrived on it, in milliseconds. */
	readonly openedAgeMs: number;
	readonly ageMs: number;
};

/** Evidence on prompt parts that end endpoints, as VMs exchange it. */
export type QuarantineDigest = {
	readonly crashes: ReadonlyArray<Omit<crashRow.CrashRow, 'at'> & {
		/** Time since the request was interrupted, in milliseconds. */
		readonly ageMs: number;
	}>;
	readonly soundParts: readonly SoundPart[];
	readonly survivors: readonly Survivor[];
};

import type * as endpointEntry from '../fleet/endpoint-entry.js';
import type * as partKey from './part-key.js';

/** A request whose response an endpoint did not complete, although it did not refuse the request. */
export type InterruptedRequest = partKey.PromptKeys & {
	/** Whether the response had begun; otherwise the endpoint may not have started with the request. */
	readonly hasBegun: boolean;
};

/** Requests that an endpoint interrupted at about the same time, as when its process ends. */
export type Interruption = {
	readonly endpoint: endpointEntry.EndpointIncarnation;
	/** When the first of the requests was interrupted, in milliseconds of a clock that includes suspensions of the VM. */
	readonly at: number;
	readonly requests: readonly InterruptedRequest[];
};

/** A prompt part and the number of interrupted requests with it whose response had begun. */
export type PartCount = {
	readonly part: string;
	readonly requests: number;
};

/** Counts the parts of the requests whose response had begun, the most frequent first. */
export function countBegunParts({requests}: Interruption): PartCount[] {
	const counts = new Map<string, number>();
	for (const {sharedParts, hasBegun} of requests) {
		for (const part of hasBegun ? new Set(sharedParts) : []) {
			counts.set(part, (counts.get(part) ?? 0) + 1);
		}
	}

	return [...counts].map(([part, count]) => ({part, requests: count})).sort((a, b) => b.requests - a.requests);
}

import type * as core from '@bluebellmast/core';

/** An endpoint with an attempt in progress, and the pool in which the request found it. */
export type AttemptTarget = {
	readonly entry: core.fleet.EndpointEntry;
	readonly pool: core.routing.Pool;
};

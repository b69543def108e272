import type * as requestContext from './request-context.js';

/** Runs the remaining filters of the chain. */
export type Next = () => Promise<void>;

/** One step in the processing of a request. It either responds to the request or calls `next` once. */
export interface Filter { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	handle(ctx: requestContext.RequestContext, next: Next): Promise<void>;
}

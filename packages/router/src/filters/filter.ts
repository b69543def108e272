import type * as requestContext from './request-context.js';

/** Runs the rest of the chain. */
export type Next = () => Promise<void>;

/** One step of the chain that each request passes. It answers the request, or calls `next` once. */
export interface Filter { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	handle(ctx: requestContext.RequestContext, next: Next): Promise<void>;
}

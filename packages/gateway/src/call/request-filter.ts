import type * as requestContext from './request-context.js';
import type * as refusals from './refusal.js';

/** A check that is applied to each request before it is dispatched. */
export interface RequestFilter { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** @returns A refusal that ends the request, or `undefined` to continue with the next filter. */
	check(ctx: requestContext.RequestContext): Promise<refusals.Refusal | undefined> | refusals.Refusal | undefined;
}

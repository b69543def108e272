import type * as requestContext from './request-context.js';
import type * as refusals from './refusal.js';

/** One step that each request passes, in order. */
export interface RequestFilter { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** @returns A refusal that ends the request, or `undefined` to go on. */
	check(ctx: requestContext.RequestContext): Promise<refusals.Refusal | undefined> | refusals.Refusal | undefined;
}

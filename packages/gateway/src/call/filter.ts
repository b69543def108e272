import type * as callContext from './call-context.js';
import type * as refusals from './refusal.js';

/** One step that each request passes, in order. */
export interface CallFilter { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** @returns A refusal that ends the request, or `undefined` to go on. */
	check(ctx: callContext.CallContext): Promise<refusals.Refusal | undefined> | refusals.Refusal | undefined;
}

import type * as core from '@bluebellmast/core';
import type * as purify from 'purify-ts';
import type * as requestContext from './request-context.js';

/** Gives back the room of an admitted request. */
export type Release = () => void;

/** Decides which requests may go on now. */
export interface Admission { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Admits a request, makes it wait within bounds, or refuses it. Never rejects. */
	admit(ctx: requestContext.RequestContext): Promise<purify.Either<core.model.Refusal, Release>>;
}

import type * as core from '@bluebellmast/core';
import type * as purify from 'purify-ts';
import type * as requestContext from './request-context.js';

/** Gives back the room of an admitted request. */
export type Release = () => void;

/** Decides which requests may go on now. */
export interface Admission { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Admits a request, makes it wait within bounds, or refuses it. Never rejects. */
	admit(ctx: requestContext.RequestContext): Promise<purify.Either<core.model.Refusal, Release>>;
	/** Notes that the answer of an admitted request began. */
	recordResponseStart(id: core.model.RequestId): void;
}

/** Counts what accounts use. */
export interface UsageCounter { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Counts what is learned after admission. */
	count(account: core.model.ClientAccount, requests: number, tokens: number): void;
}

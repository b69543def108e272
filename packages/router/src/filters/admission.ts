import type * as core from '@bluebellmast/core';
import type * as purify from 'purify-ts';
import type * as requestContext from './request-context.js';

/** Frees the capacity that an admitted request holds. */
export type Release = () => void;

/** Controls which requests may be processed now. */
export interface Admission { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Admits a request, at once or after a bounded wait, or refuses it. The promise never rejects. */
	admit(ctx: requestContext.RequestContext): Promise<purify.Either<core.model.Refusal, Release>>;
	/** Records that the response to an admitted request has started. */
	recordResponseStart(id: core.model.RequestId): void;
}

/** Counts the usage of client accounts. */
export interface UsageCounter { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Adds usage that becomes known after admission, such as tokens. */
	count(account: core.model.ClientAccount, requests: number, tokens: number): void;
}

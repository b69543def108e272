import type * as core from '@bluebellmast/core';
import type * as purify from 'purify-ts';
import type * as responseWriter from '../http/response-writer.js';
import type * as requestContext from './request-context.js';

/** A request that may not be repeated. */
export type Intent = {
	readonly account: core.model.AccountId;
	/** The caller's idempotency key. */
	readonly key: string;
	/** SHA-256 of what is asked for, in hex. */
	readonly digest: string;
	/** Names this try of the key. */
	readonly attempt: core.model.AttemptId;
	/** Milliseconds since the Unix epoch. */
	readonly deadlineAt: number;
};

/** A refusal, the recorded answer of an earlier run, or nothing: the request may run now, once. */
export type IntentVerdict = purify.Either<core.model.Refusal, responseWriter.BufferedResponse | undefined>;

/** Remembers which requests that may not be repeated were begun and how they ended. */
export interface IdempotencyStore { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Records an intent before the first byte leaves. Never rejects. */
	begin(intent: Intent): Promise<IntentVerdict>;
	/** Notes how a request that was allowed to run has ended. */
	finish(intent: Intent, outcome: requestContext.RequestOutcome): void;
}

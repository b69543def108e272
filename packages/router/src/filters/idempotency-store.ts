import type * as core from '@bluebellmast/core';
import type * as purify from 'purify-ts';
import type * as responseWriter from '../http/response-writer.js';
import type * as requestContext from './request-context.js';

/** The intent to run a request that must not be repeated. */
export type Intent = {
	readonly account: core.model.AccountId;
	/** The caller's idempotency key. */
	readonly key: string;
	/** SHA-256 of the call, in hex. */
	readonly digest: string;
	/** Identifies this attempt to use the key. */
	readonly attempt: core.model.AttemptId;
	/** Milliseconds since the Unix epoch. */
	readonly deadlineAt: number;
};

/** A refusal, or the recorded response of an earlier run, or `undefined` if the request may run now, once. */
export type IntentVerdict = purify.Either<core.model.Refusal, responseWriter.BufferedResponse | undefined>;

/** Records which requests that must not be repeated were started, and their outcomes. */
export interface IdempotencyStore { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Records an intent before the first byte of the request is sent. The promise never rejects. */
	begin(intent: Intent): Promise<IntentVerdict>;
	/** Records the outcome of a request that was allowed to run. */
	finish(intent: Intent, outcome: requestContext.RequestOutcome): void;
}

import type * as core from '@bluebellmast/core';
import type * as purify from 'purify-ts';

/** Head of an HTTP request as it was received. */
export type RawRequestHead = {
	readonly method: string;
	/** Request target as sent: path and query. */
	readonly target: string;
	/** Header names and values, alternating, as received. */
	readonly rawHeaders: readonly string[];
};

/** What the headers of a request state about its prompt. */
export type PromptMetadata = {
	readonly model: string;
	readonly promptTokens: number;
	readonly maxOutputTokens: number;
	/** Cacheable parts of the prompt, in order. The last one is specific to a request or session; other requests may share the rest. */
	readonly parts: readonly core.fleet.PromptPart[];
};

/** Decoded head of a caller's request. */
export type RequestHead = {
	readonly method: string;
	readonly target: string;
	readonly host: string;
	/** Id of the request; the caller uses a new one for each of its attempts. */
	readonly requestId: string;
	readonly apiKey?: string;
	/** Milliseconds that the caller waits for the response after sending the request. */
	readonly deadlineMs?: number;
	readonly prompt?: PromptMetadata;
	/** Prompt tokens, and output tokens at most, that the request states; absent if it states none. */
	readonly statedTokens?: number;
	/** Id of the last event that the caller received of an interrupted stream. */
	readonly lastEventId?: number;
	/** Header names and values, alternating, that are forwarded to the endpoint unchanged. */
	readonly forwardedHeaders: readonly string[];
};

/** A problem in the head of a request; the caller receives it as one of the findings of the refusal. */
export type HeadFinding = {
	/** Header or other part of the head that has the problem. */
	readonly place: string;
	readonly problem: string;
};

/** Decodes the requests of callers. */
export interface CallerProtocol { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Returns the decoded head, or all problems in it. */
	decodeRequestHead(head: RawRequestHead): purify.Either<readonly HeadFinding[], RequestHead>;
}

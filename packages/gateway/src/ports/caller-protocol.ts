import type * as core from '@bluebellmast/core';
import type * as purify from 'purify-ts';

/** Head of an HTTP request as it was received. */
export type RawRequestHead = {
	readonly method: string;
	/** Request target as sent: path and query. */
	readonly target: string;
	/** Header names and values by turns, as received. */
	readonly rawHeaders: readonly string[];
};

/** What a caller tells of a prompt. */
export type PromptMetadata = {
	readonly model: string;
	readonly promptTokens: number;
	readonly maxOutputTokens: number;
	/** Cacheable parts in order; the last one belongs to the request or its session alone. */
	readonly parts: readonly core.fleet.PromptPart[];
};

/** Head of a caller's request. */
export type RequestHead = {
	readonly method: string;
	readonly target: string;
	readonly host: string;
	/** Names one attempt of the caller. */
	readonly requestId: string;
	readonly apiKey?: string;
	/** Milliseconds for which the caller waits, from its sending. */
	readonly deadlineMs?: number;
	readonly prompt?: PromptMetadata;
	/** Last event that the caller has of an interrupted stream. */
	readonly lastEventId?: number;
	/** Header names and values by turns that go on to the endpoint unchanged. */
	readonly forwardedHeaders: readonly string[];
};

/** What is wrong with a request's head, each with the header or part concerned. */
export type HeadFinding = {
	readonly place: string;
	readonly problem: string;
};

/** Decodes what callers send. */
export interface CallerProtocol { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	decodeRequestHead(head: RawRequestHead): purify.Either<readonly HeadFinding[], RequestHead>;
}

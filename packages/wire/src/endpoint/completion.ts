
/** One message of a conversation. */
export type ChatMessage = {
	readonly role: string;
	readonly content: string;
};

/** One piece of a prompt's prefix: the key of the prefix that ends with it, and its number of tokens. */
export type PrefixPiece = {
	/** Hash in hex, chained over the account, the weights and all pieces up to this one. */
	readonly key: string;
	readonly tokens: number;
};

/**
 * Body of `POST /v1/chat/completions` to an engine: the usual chat completions request with extensions.
 * Request headers: `x-request-id`, `x-attempt-id`, `x-account`, `x-weights` (an engine without these weights responds with 409
 * and does not start the request).
 * Response headers: `x-request-id`, `x-attempt-id`, `x-engine-incarnation`, `x-weights`.
 */
export type EngineCompletionRequest = {
	readonly model: string;
	readonly messages: readonly ChatMessage[];
	readonly stream: boolean;
	readonly max_tokens: number;
	readonly priority: number;
	/** Separates the cache entries of different accounts and weights. */
	readonly cache_salt: string;
	readonly prefix: readonly PrefixPiece[];
	/** Generated text that the caller has received already; generation continues after it. */
	readonly forced_prefix?: string;
};

/** Token counts of a request and its response. */
export type CompletionUsage = {
	readonly prompt_tokens: number;
	readonly completion_tokens: number;
	readonly prompt_tokens_details: {readonly cached_tokens: number};
};

/**
 * Data of one server-sent event of a stream. The `id` of each event is its index, from 0; the data of the last
 * event is `[DONE]`. `GET /v1/streams/<attempt-id>` with the header `last-event-id` resumes a stream;
 * `DELETE /v1/streams/<attempt-id>` cancels it.
 */
export type CompletionChunk = {
	readonly id: string;
	readonly object: 'chat.completion.chunk';
	readonly model: string;
	readonly choices: ReadonlyArray<{
		readonly index: number;
		readonly delta: {readonly content?: string};
		readonly finish_reason: string | null; // eslint-disable-line @typescript-eslint/no-restricted-types
	}>;
	readonly usage?: CompletionUsage;
};

/** Body of a response that is not streamed. */
export type Completion = {
	readonly id: string;
	readonly object: 'chat.completion';
	readonly model: string;
	readonly choices: ReadonlyArray<{
		readonly index: number;
		readonly message: ChatMessage;
		readonly finish_reason: string;
	}>;
	readonly usage: CompletionUsage;
};

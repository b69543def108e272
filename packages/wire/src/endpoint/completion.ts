
/** One message of a conversation. */
export type ChatMessage = {
	readonly role: string;
	readonly content: string;
};

/** One level of a prompt's prefix: a chained hash and the tokens that the level adds. */
export type PrefixPiece = {
	/** Chained hash in hex; covers account, weights and all earlier pieces. */
	readonly key: string;
	readonly tokens: number;
};

/**
 * Body of `POST /v1/chat/completions` towards an engine: the common chat-completions shape with extensions.
 * Headers: `x-request-id`, `x-attempt-id`, `x-account`, `x-weights` (the engine refuses other weights with 409 before it begins).
 * Answer headers: `x-request-id`, `x-attempt-id`, `x-engine-incarnation`, `x-weights`.
 */
export type EngineCompletionRequest = {
	readonly model: string;
	readonly messages: readonly ChatMessage[];
	readonly stream: boolean;
	readonly max_tokens: number;
	readonly priority: number;
	/** Keeps cache entries of accounts and weights apart. */
	readonly cache_salt: string;
	readonly prefix: readonly PrefixPiece[];
	/** Answer text that was delivered already; generation continues after it. */
	readonly forced_prefix?: string;
};

/** Token counts of an answer. */
export type CompletionUsage = {
	readonly prompt_tokens: number;
	readonly completion_tokens: number;
	readonly prompt_tokens_details: {readonly cached_tokens: number};
};

/**
 * Data of one server-sent event of a stream. Each event has an `id:` line with its index from 0;
 * the last data line is `[DONE]`. Resume: `GET /v1/streams/<attempt-id>` with `last-event-id`;
 * cancel: `DELETE /v1/streams/<attempt-id>`.
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

/** Body of an answer that is not streamed. */
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

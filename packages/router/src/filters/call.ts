import type * as core from '@bluebellmast/core';
import type * as wire from '@bluebellmast/wire';

/** Type of an API call. */
export enum CallType {
	Chat = 'chat',
	Service = 'service',
	IssueKey = 'issue_key',
}

/** A chat completion request to a language model. */
export type ChatCall = {
	readonly type: CallType.Chat;
	readonly model: core.model.ModelId;
	readonly adapter?: core.model.AdapterId;
	readonly messages: readonly wire.endpoint.ChatMessage[];
	readonly stream: boolean;
	/** Maximum number of tokens to generate. */
	readonly maxTokens: number;
};

/** A request to a plain service: an HTTP service that runs no models. */
export type ServiceCall = {
	readonly type: CallType.Service;
	readonly service: core.model.ServiceId;
	readonly method: string;
	/** Path and query relative to the service, starting with `/`. */
	readonly path: string;
	readonly contentType: string;
	readonly body: Uint8Array;
};

/** A request for a router-issued idempotency key. */
export type IssueKeyCall = {
	readonly type: CallType.IssueKey;
};

/** A parsed API call. */
export type Call = ChatCall | ServiceCall | IssueKeyCall;

import type * as core from '@bluebellmast/core';
import type * as wire from '@bluebellmast/wire';

/** What a caller asks for. */
export enum CallType {
	Chat = 'chat',
	Service = 'service',
	IssueKey = 'issue_key',
}

/** A call of a language model. */
export type ChatCall = {
	readonly type: CallType.Chat;
	readonly model: core.model.ModelId;
	readonly adapter?: core.model.AdapterId;
	readonly messages: readonly wire.endpoint.ChatMessage[];
	readonly stream: boolean;
	/** Tokens to generate at most. */
	readonly maxTokens: number;
};

/** A call of a plain service. */
export type ServiceCall = {
	readonly type: CallType.Service;
	readonly service: core.model.ServiceId;
	readonly method: string;
	/** Path and query below the service, starting with `/`. */
	readonly path: string;
	readonly contentType: string;
	readonly body: Uint8Array;
};

/** A request for a router-issued idempotency key. */
export type IssueKeyCall = {
	readonly type: CallType.IssueKey;
};

/** Any call. */
export type Call = ChatCall | ServiceCall | IssueKeyCall;

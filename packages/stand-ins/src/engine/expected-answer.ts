import * as crypto from 'node:crypto';
import type * as wire from '@bluebellmast/wire';

/** Answer to a request; `text` is the concatenation of `tokens`. */
export type ExpectedAnswer = {
	readonly tokens: readonly string[];
	readonly text: string;
	/** `length` when the answer reaches the token limit, else `stop`. */
	readonly finishReason: string;
};

const digestPartLength = 8;

/**
 * Returns the answer that every engine gives, whatever its weights: a pure function of account, messages and token limit.
 * Each token contains the request's digest and its own index, so that checks can detect lost, duplicated, reordered
 * and misdelivered tokens.
 */
export function expectedAnswer(
	account: string,
	messages: readonly wire.endpoint.ChatMessage[],
	maxTokens: number,
): ExpectedAnswer {
	const hash = crypto.createHash('sha256');
	hash.update(JSON.stringify([account, messages.map(message => [message.role, message.content]), maxTokens]));
	const digestHex = hash.digest('hex');
	const digestPrefix = digestHex.slice(0, digestPartLength);
	const minLength = Math.ceil(maxTokens / 2);
	const length = minLength + (Number.parseInt(digestHex.slice(-digestPartLength), 16) % (maxTokens - minLength + 1));
	const tokens = Array.from({length}, (_, index) => `${index === 0 ? '' : ' '}${digestPrefix}.${index}`);
	return {tokens, text: tokens.join(''), finishReason: length === maxTokens ? 'length' : 'stop'};
}

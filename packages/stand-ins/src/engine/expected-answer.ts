import * as crypto from 'node:crypto';
import type * as wire from '@bluebellmast/wire';

/** An answer's tokens; their concatenation is the text. */
export type ExpectedAnswer = {
	readonly tokens: readonly string[];
	readonly text: string;
	/** `length` when the token limit cut the answer, else `stop`. */
	readonly finishReason: string;
};

const digestPartLength = 8;

/**
 * Returns the answer that every engine gives: a pure function of account, messages and token limit, on any weights.
 * Each token names the request's digest and its own index, so that loss, doubling, order and ownership can be checked.
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

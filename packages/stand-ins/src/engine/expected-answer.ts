import * as crypto from 'node:crypto';
import type * as wire from '@bluebellmast/wire';

/** An answer's tokens; their concatenation is the text. */
export type ExpectedAnswer = {
	readonly tokens: readonly string[];
	readonly text: string;
	/** `length` when the token limit cut the answer, else `stop`. */
	readonly finishReason: string;
};

const digestTextLength = 8;

/**
 * Returns the answer that every engine gives: a pure function of account, messages and token limit, on any weights.
 * Each token names the request's digest and its own index, so that loss, doubling, order and ownership can be checked.
 */
export function expectedAnswer(
	account: string,
	messages: readonly wire.endpoint.ChatMessage[],
	maxTokens: number,
): ExpectedAnswer {
	const digest = crypto.createHash('sha256');
	digest.update(JSON.stringify([account, messages.map(message => [message.role, message.content]), maxTokens]));
	const hash = digest.digest('hex');
	const name = hash.slice(0, digestTextLength);
	const shortest = Math.ceil(maxTokens / 2);
	const length = shortest + (Number.parseInt(hash.slice(-digestTextLength), 16) % (maxTokens - shortest + 1));
	const tokens = Array.from({length}, (_, index) => `${index === 0 ? '' : ' '}${name}.${index}`);
	return {tokens, text: tokens.join(''), finishReason: length === maxTokens ? 'length' : 'stop'};
}

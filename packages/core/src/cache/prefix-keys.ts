import type * as ids from '../model/ids.js';
import * as weights from '../model/weights.js';
import * as hash from '../util/hash.js';

/** One piece of a prompt's prefix. */
export type PrefixPiece = {
	/** Chained hash as 16 hexadecimal digits; covers account, weights and all earlier pieces. */
	readonly key: string;
	/** Number of tokens in the piece. */
	readonly tokens: number;
};

/** One message of a prompt. */
export type PromptMessage = {
	readonly role: string;
	readonly content: string;
};

/** Options for splitting prompts. */
export type PrefixOptions = {
	/** Tokens per piece; equals the cache block size of the engines. Default 2000. */
	readonly pieceTokens?: number;
	/** Average number of characters per token. Default 4. */
	readonly charsPerToken?: number;
	/** Maximum number of pieces with a key; the rest of the prompt counts as not cached. Default 512. */
	readonly maxPieces?: number;
};

/** Owner and model of a prompt. Excludes the weights version, so that home endpoints stay the same across versions. */
export type PrefixScope = {
	readonly account: ids.AccountId;
	readonly model: ids.ModelId;
	readonly adapter?: ids.AdapterId;
};

/** A prompt split into pieces, before weights are chosen. */
export type SplitPrompt = {
	readonly account: ids.AccountId;
	/** Version-independent chained hash of each whole piece, as 16 hexadecimal digits; used to choose homes, never as a cache key. */
	readonly homeKeys: readonly string[];
	readonly pieceTokens: number;
	/** Estimated number of tokens of the whole prompt; at least 1. */
	readonly promptTokens: number;
};

const hexDigits = 16;
const messageSeparator = '\u0000';

/**
 * Splits a prompt into whole pieces with chained hashes. An incomplete last piece has no key, since engines cache only whole pieces.
 */
export function splitPrompt(
	scope: PrefixScope,
	messages: readonly PromptMessage[],
	options: PrefixOptions = {},
): SplitPrompt {
	const pieceTokens = options.pieceTokens ?? 2000;
	const charsPerToken = options.charsPerToken ?? 4;
	const text = messages.map(message => message.role + messageSeparator + message.content).join(messageSeparator);
	const pieceChars = Math.max(1, Math.round(pieceTokens * charsPerToken));
	const count = Math.min(options.maxPieces ?? 512, Math.floor(text.length / pieceChars));
	const homeKeys: string[] = [];
	let chain = hash.hash64(JSON.stringify([scope.account, scope.model, scope.adapter ?? '']));
	for (let index = 0; index < count; index++) {
		chain = hash.hash64(text.slice(index * pieceChars, (index + 1) * pieceChars), chain);
		homeKeys.push(formatHash(chain));
	}

	return {
		account: scope.account,
		homeKeys,
		pieceTokens,
		promptTokens: Math.max(1, Math.ceil(text.length / charsPerToken)),
	};
}

/** Returns the pieces of a split prompt with keys for the given weights; the keys include account and weights. */
export function bindPrefix(prompt: SplitPrompt, chosen: weights.Weights): PrefixPiece[] {
	const seed = hash.hash64(cacheSalt(prompt.account, chosen));
	return prompt.homeKeys.map(homeKey => ({
		key: hash.hash64Hex(homeKey, seed),
		tokens: prompt.pieceTokens,
	}));
}

/**
 * Returns the salt that separates cache entries: an unambiguous text of account and exact weights.
 * It is not hashed, so that a crafted hash collision of prompt texts cannot cross accounts or weights.
 */
export function cacheSalt(account: ids.AccountId, chosen: weights.Weights): string {
	return saltOfKey(account, weights.formatWeights(chosen));
}

/** Returns the same salt for weights in text form. */
export function saltOfKey(account: ids.AccountId, chosen: weights.WeightsKey): string {
	return JSON.stringify([account, chosen]);
}

function formatHash(value: bigint): string {
	return value.toString(16).padStart(hexDigits, '0');
}

import type * as ids from '../model/ids.js';
import * as weights from '../model/weights.js';
import * as hash from '../util/hash.js';

/** One piece of a prompt's prefix. */
export type PrefixPiece = {
	/** Chained hash as 16 hex digits; covers account, weights and all earlier pieces. */
	readonly key: string;
	/** Tokens that the piece adds. */
	readonly tokens: number;
};

/** One message of a prompt. */
export type PromptMessage = {
	readonly role: string;
	readonly content: string;
};

/** How prompts are split. */
export type PrefixOptions = {
	/** Tokens a piece; equals the engines' cache unit. Default 2000. */
	readonly pieceTokens?: number;
	/** Characters a token, on average. Default 4. */
	readonly charsPerToken?: number;
	/** Largest number of pieces that get a key; what follows counts as not cached. Default 512. */
	readonly maxPieces?: number;
};

/** Whose prompt it is; the version is left out, so that homes are the same over versions. */
export type PrefixScope = {
	readonly account: ids.AccountId;
	readonly model: ids.ModelId;
	readonly adapter?: ids.AdapterId;
};

/** A prompt split into pieces, before weights are chosen. */
export type SplitPrompt = {
	readonly account: ids.AccountId;
	/** Version-independent chained hash of each whole piece, as 16 hex digits: decides homes, never names cached state. */
	readonly homeKeys: readonly string[];
	readonly pieceTokens: number;
	/** Estimated tokens of the whole prompt, at least 1. */
	readonly promptTokens: number;
};

const hexDigits = 16;
const messageSeparator = '\u0000';

/**
 * Splits a prompt into whole pieces with chained hashes. The last incomplete piece has no key: engines cache whole pieces.
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

/** Binds a split prompt to weights: keys of other accounts or weights never equal these. */
export function bindPrefix(prompt: SplitPrompt, chosen: weights.Weights): PrefixPiece[] {
	const seed = hash.hash64(cacheSalt(prompt.account, chosen));
	return prompt.homeKeys.map(homeKey => ({
		key: hash.hash64Hex(homeKey, seed),
		tokens: prompt.pieceTokens,
	}));
}

/**
 * Returns the text that keeps cache entries apart: account and exact weights, unambiguous.
 * It is no hash, so that a crafted collision of prompt texts stays within its account and weights.
 */
export function cacheSalt(account: ids.AccountId, chosen: weights.Weights): string {
	return saltOfKey(account, weights.formatWeights(chosen));
}

/** Returns the same text for weights in text form. */
export function saltOfKey(account: ids.AccountId, chosen: weights.WeightsKey): string {
	return JSON.stringify([account, chosen]);
}

function formatHash(value: bigint): string {
	return value.toString(16).padStart(hexDigits, '0');
}

import * as purify from 'purify-ts';

/** What an operator says about a prompt part. */
export enum OperatorAction {
	/** Requests with the part are refused. */
	Add = 'add',
	/** The evidence on the part so far is void, as is an earlier word by which it was added. */
	Lift = 'lift',
}

/** An operator's word on a prompt part. Times are in milliseconds since the Unix epoch. */
export type OperatorWord = {
	readonly part: string;
	readonly action: OperatorAction;
	/** When it was said; the later one of two words on a part holds. */
	readonly at: number;
	/** When it ends. */
	readonly until: number;
	/** Name of the operator. */
	readonly by: string;
	readonly reason: string;
};

/** What an operator asks for. */
export type OperatorOrder = Pick<OperatorWord, 'part' | 'action' | 'by' | 'reason'> & {
	/** Time for which the word holds, in milliseconds. */
	readonly lifetimeMs: number;
};

/** Largest number of words in force at a time, so that they fit into one value of the store: about 9 KB. */
export const maxOperatorWords = 32;
/** Longest time for which a word holds, in milliseconds. */
export const maxWordLifetimeMs = 86_400_000;
/** Time for which a lift is kept, in milliseconds: longer than the evidence that it voids. */
export const liftLifetimeMs = 600_000;
/** Largest lengths of the texts of a word. */
export const maxPartLength = 64;
export const maxOperatorLength = 40;
export const maxReasonLength = 120;

/**
 * Returns the words that hold after an order. A lift lasts as long as the word that it replaces would have, so that this one isn't in force
 * again if the store returns from a copy.
 *
 * @param words - The words that the store holds; those that have ended are left out of the result.
 */
export function applyOperatorOrder(words: readonly OperatorWord[], order: OperatorOrder, now: number): purify.Either<string, readonly OperatorWord[]> {
	const inForce = words.filter(word => word.until > now);
	const replaced = inForce.find(word => word.part === order.part);
	const others = inForce.filter(word => word !== replaced);
	if (others.length >= maxOperatorWords) {
		return purify.Left(`${maxOperatorWords} words are in force, the largest number; lift a part that was added, or wait until one ends`);
	}

	const {lifetimeMs, ...said} = order;
	const at = Math.max(now, ...words.map(word => word.at + 1));
	const until = at + Math.min(lifetimeMs, maxWordLifetimeMs);
	return purify.Right([...others, {
		...said, at, until: order.action === OperatorAction.Lift ? Math.max(until, replaced?.until ?? 0) : until,
	}]);
}

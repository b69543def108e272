import * as invariant from '../util/invariant.js';

/**
 * Number of revisions by which a return from a copy may set the store back without making fencing tokens fall. A copy is seconds
 * old; the store makes far fewer changes in that time.
 */
const revisionsPerEra = 2 ** 24;

/**
 * Returns the fencing token of a leader.
 *
 * Tokens rise with the revision within an era, and with the era as long as a return sets the store back by fewer than 2^24 revisions.
 * Without an era the token is the revision.
 *
 * @param revision - Revision of the leader's key.
 * @param era - Era of the store in which the revision was given out, if the store states one.
 */
export function createFencingToken(revision: number, era = 0): number {
	const token = (era * revisionsPerEra) + revision;
	invariant.assertInvariant(Number.isSafeInteger(token), 'store.fencing-token-safe', () => `era ${era} with revision ${revision}`);
	return token;
}

/** Returns the era in which the fencing token was created; 0 if the store stated none. */
export function eraOfFencingToken(token: number): number {
	return Math.floor(token / revisionsPerEra);
}

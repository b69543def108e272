import * as hash from './hash.js';

type ScoredCandidate = {
	readonly candidate: string;
	readonly score: number;
};

function compareCandidates(a: ScoredCandidate, b: ScoredCandidate): number {
	if (a.score !== b.score) {
		return b.score - a.score;
	}

	return a.candidate < b.candidate ? -1 : 1;
}

/**
 * Ranks candidates for a key by rendezvous hashing, best first. The result does not depend on the order of the input,
 * and the removal of a candidate does not change the order of the others.
 */
export function rankByRendezvous(key: string, candidates: readonly string[]): string[] {
	const seed = hash.hash32(key);
	return candidates
		.map(candidate => ({candidate, score: hash.hash32(candidate, seed)}))
		.sort(compareCandidates)
		.map(scored => scored.candidate);
}

/** Returns the first candidate of {@link rankByRendezvous} in a single pass, or `undefined` when there are no candidates. */
export function selectByRendezvous(key: string, candidates: Iterable<string>): string | undefined {
	const seed = hash.hash32(key);
	let best: ScoredCandidate | undefined;
	for (const candidate of candidates) {
		const scored = {candidate, score: hash.hash32(candidate, seed)};
		if (best === undefined || compareCandidates(scored, best) < 0) {
			best = scored;
		}
	}

	return best?.candidate;
}

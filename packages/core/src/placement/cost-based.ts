import * as hash from '../util/hash.js';
import * as boundedRendezvous from './bounded-rendezvous.js';
import * as eligibility from './eligibility.js';
import type * as homeRanker from './home-ranker.js';
import * as leastLoad from './least-load.js';
import * as nearEqual from './near-equal.js';
import type * as placementPolicy from './placement-policy.js';
import type * as placementRequest from './placement-request.js';
import type * as placementView from './placement-view.js';

/** Weights of the terms of a placement cost; configured per deployment. */
export type CostWeights = {
	/**
	 * Additional cost of each millisecond of prefill at a home of the prefix, while fewer engines hold the prefix than its
	 * request rate calls for.
	 */
	readonly homeWaste: number;
	/** The same at other endpoints, or when enough engines hold the prefix, since its pieces evict those of other prefixes. */
	readonly strayWaste: number;
	/** Smallest number of homes of a prefix; the less loaded ones are preferred while no engine holds the prefix. */
	readonly minHomes: number;
	/** Cost in milliseconds of an endpoint with all slots occupied; proportional to its relative load. */
	readonly occupancyMs: number;
	/** Share of unconfirmed tokens that counts as cached, 0 to 1. */
	readonly doubt: number;
	/** Time to import one token from the KV cache store, in milliseconds; 0 without a store. */
	readonly importMsPerToken: number;
	/** Cost difference up to which candidates count as equal, in milliseconds. */
	readonly toleranceMs: number;
};

/** An endpoint with the expected cost of the placement there. */
type Candidate = {
	readonly endpoint: placementView.EndpointView;
	readonly cachedTokens: number;
	readonly isImportCheaper: boolean;
	readonly costMs: number;
};

const maxHomeCandidates = 4;
/** Number of eligible endpoints up to which all are candidates. */
const maxFullScanSize = 16;
const maxSpillCandidates = 2;
const maxHitCandidates = 3;
const randomCandidateCount = 2;

/**
 * Chooses the cheapest of a few candidates. The cost is made up of queueing time, occupancy, prefill (or import) of the missing
 * tokens, and redundant recomputation. Candidates are homes by rendezvous hashing, engines that hold the longest part of the
 * prompt, and two random endpoints (power of two choices).
 */
export class CostBased implements placementPolicy.PlacementPolicy {
	readonly #ranker: homeRanker.HomeRanker;
	readonly #fallback: leastLoad.LeastLoad;
	readonly #weights: CostWeights;
	readonly #seed: number;
	#decisions = 0;

	constructor(
		ranker: homeRanker.HomeRanker,
		fallback: leastLoad.LeastLoad,
		weights: CostWeights,
		seed: number,
	) {
		this.#ranker = ranker;
		this.#fallback = fallback;
		this.#weights = weights;
		this.#seed = seed;
	}

	place(
		request: placementRequest.PlacementRequest,
		view: placementView.PlacementView,
		now: number,
	): placementRequest.Placement | undefined {
		const eligible = eligibility.listEligible(request, view);
		if (request.homeKeys.length === 0 || eligible.length === 0) {
			return this.#fallback.place(request, view);
		}

		this.#decisions += 1;
		const seed = nearEqual.mix32(this.#seed + this.#decisions);
		const hits = view.hits(request);
		const levels = boundedRendezvous.homeLevels(request, view, now);
		const {homes, spillEndpoints} = boundedRendezvous.rankHomes(
			this.#ranker,
			eligible,
			levels.map(level => ({...level, homes: Math.max(level.homes, this.#weights.minHomes)})),
		);
		const needsMoreHolders = eligibility.countHolders(request, hits) < levels[0]!.homes;
		const considered = eligible.length <= maxFullScanSize
			? eligible
			: [
				...homes.slice(0, maxHomeCandidates),
				...spillEndpoints.slice(0, maxSpillCandidates),
				...this.#listHolders(eligible, hits),
				...this.#listRandom(eligible, seed),
			];
		const homeNames = new Set(homes.map(home => home.endpoint));
		const storedTokens = this.#weights.importMsPerToken > 0 ? view.storedTokens(request) : 0;
		const candidates = [...new Set(considered)].map(endpoint => this.#evaluate({
			endpoint, request, hits, storedTokens, shouldReplicate: needsMoreHolders && homeNames.has(endpoint.endpoint),
		}));
		const chosen = nearEqual.pickNearEqual(candidates, candidate => candidate.costMs, this.#weights.toleranceMs, seed)!;
		const importKeys = chosen.isImportCheaper ? listKeysInRange(request, chosen.cachedTokens, storedTokens) : [];
		return eligibility.createPlacement(chosen.endpoint, request, chosen.cachedTokens, importKeys);
	}

	#evaluate(input: {
		readonly endpoint: placementView.EndpointView;
		readonly request: placementRequest.PlacementRequest;
		readonly hits: readonly placementView.PrefixHit[];
		readonly storedTokens: number;
		readonly shouldReplicate: boolean;
	}): Candidate {
		const {endpoint, request} = input;
		const cachedTokens = eligibility.estimateCachedTokens(endpoint, input.hits, this.#weights.doubt);
		const importTokens = Math.max(0, input.storedTokens - cachedTokens);
		const importMs = importTokens * this.#weights.importMsPerToken;
		const prefillMs = importTokens / endpoint.prefillTokensPerMs;
		const isImportCheaper = importTokens > 0 && importMs < prefillMs;
		const uncachedTokens = Math.max(0, request.promptTokens - cachedTokens - (isImportCheaper ? importTokens : 0));
		const uncachedMs = uncachedTokens / endpoint.prefillTokensPerMs;
		const waste = input.shouldReplicate ? this.#weights.homeWaste : this.#weights.strayWaste;
		const occupancyMs = leastLoad.relativeLoad(endpoint) * this.#weights.occupancyMs;
		return {
			endpoint,
			cachedTokens,
			isImportCheaper,
			costMs: endpoint.queueMs + occupancyMs + (uncachedMs * (1 + waste)) + (isImportCheaper ? importMs : 0),
		};
	}

	#listHolders(
		eligible: readonly placementView.EndpointView[],
		hits: readonly placementView.PrefixHit[],
	): placementView.EndpointView[] {
		const names = new Set(hits.slice(0, maxHitCandidates).map(hit => hit.endpoint));
		return names.size === 0 ? [] : eligible.filter(endpoint => names.has(endpoint.endpoint));
	}

	#listRandom(eligible: readonly placementView.EndpointView[], seed: number): placementView.EndpointView[] {
		return Array.from({length: randomCandidateCount}, (_, index) => eligible[nearEqual.mix32(seed + index) % eligible.length]!);
	}
}

/** Returns a 32-bit seed for a router name. */
export function seedOf(name: string): number {
	return hash.hash32(name);
}

function listKeysInRange(request: placementRequest.PlacementRequest, from: number, to: number): string[] {
	const keys: string[] = [];
	let tokens = 0;
	for (const piece of request.pieces) {
		if (tokens >= from && tokens + piece.tokens <= to) {
			keys.push(piece.key);
		}

		tokens += piece.tokens;
	}

	return keys;
}

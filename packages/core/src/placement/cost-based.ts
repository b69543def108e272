import * as hash from '../util/hash.js';
import * as boundedRendezvous from './bounded-rendezvous.js';
import * as eligibility from './eligibility.js';
import type * as homeRanker from './home-ranker.js';
import * as leastLoad from './least-load.js';
import * as nearEqual from './near-equal.js';
import type * as placementPolicy from './placement-policy.js';
import type * as placementRequest from './placement-request.js';
import type * as placementView from './placement-view.js';

/** What a cost counts; chosen by deployment. */
export type CostWeights = {
	/**
	 * Cost of a millisecond of prefill at a home of the prefix, beyond the time it takes, while fewer engines hold the
	 * prefix than its rate asks for.
	 */
	readonly homeWaste: number;
	/** The same elsewhere, or when enough engines hold it: the pieces push out those of other prefixes. */
	readonly strayWaste: number;
	/** Homes that a prefix has at least; the less loaded takes it while none holds it. */
	readonly minHomes: number;
	/** Milliseconds for an endpoint whose slots are all taken; in proportion below. */
	readonly occupancyMs: number;
	/** Part of doubtful pieces that counts as held, 0 to 1. */
	readonly doubt: number;
	/** Milliseconds that the import of a token from the store of kept KV cache takes; 0 when there is no store. */
	readonly importMsPerToken: number;
	/** Costs that differ by less, in milliseconds, count as equal. */
	readonly toleranceMs: number;
};

/** A candidate with what placing there would cost. */
type Candidate = {
	readonly endpoint: placementView.EndpointView;
	readonly cachedTokens: number;
	readonly isImportCheaper: boolean;
	readonly costMs: number;
};

const maxHomeCandidates = 4;
/** Pools up to this size are looked at as a whole. */
const maxFullScanSize = 16;
const maxSpillCandidates = 2;
const maxHitCandidates = 3;
const randomCandidateCount = 2;

/**
 * Takes the cheapest of a few candidates by queue, missing prefill (or import) and wasted recomputation. Candidates are
 * homes by rendezvous, engines that hold most of the prompt, and two at random (power of two choices).
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
		const {homes, spillEndpoints: spill} = boundedRendezvous.rankHomes(
			this.#ranker,
			eligible,
			levels.map(level => ({...level, homes: Math.max(level.homes, this.#weights.minHomes)})),
		);
		const wantsCopies = eligibility.countHolders(request, hits) < levels[0]!.homes;
		const named = eligible.length <= maxFullScanSize
			? eligible
			: [
				...homes.slice(0, maxHomeCandidates),
				...spill.slice(0, maxSpillCandidates),
				...this.#listHolders(eligible, hits),
				...this.#listRandom(eligible, seed),
			];
		const homeNames = new Set(homes.map(home => home.endpoint));
		const keptTokens = this.#weights.importMsPerToken > 0 ? view.storedTokens(request) : 0;
		const candidates = [...new Set(named)].map(endpoint => this.#evaluate({
			endpoint, request, hits, keptTokens, isCopyWanted: wantsCopies && homeNames.has(endpoint.endpoint),
		}));
		const chosen = nearEqual.pickNearEqual(candidates, candidate => candidate.costMs, this.#weights.toleranceMs, seed)!;
		const importKeys = chosen.isImportCheaper ? listKeysInRange(request, chosen.cachedTokens, keptTokens) : [];
		return eligibility.createPlacement(chosen.endpoint, request, chosen.cachedTokens, importKeys);
	}

	#evaluate(input: {
		readonly endpoint: placementView.EndpointView;
		readonly request: placementRequest.PlacementRequest;
		readonly hits: readonly placementView.PrefixHit[];
		readonly keptTokens: number;
		readonly isCopyWanted: boolean;
	}): Candidate {
		const {endpoint, request} = input;
		const cachedTokens = eligibility.estimateCachedTokens(endpoint, input.hits, this.#weights.doubt);
		const importTokens = Math.max(0, input.keptTokens - cachedTokens);
		const importMs = importTokens * this.#weights.importMsPerToken;
		const prefillMs = importTokens / endpoint.prefillTokensPerMs;
		const imports = importTokens > 0 && importMs < prefillMs;
		const missing = Math.max(0, request.promptTokens - cachedTokens - (imports ? importTokens : 0));
		const missingMs = missing / endpoint.prefillTokensPerMs;
		const waste = input.isCopyWanted ? this.#weights.homeWaste : this.#weights.strayWaste;
		const occupancyMs = leastLoad.relativeLoad(endpoint) * this.#weights.occupancyMs;
		return {
			endpoint,
			cachedTokens,
			isImportCheaper: imports,
			costMs: endpoint.queueMs + occupancyMs + (missingMs * (1 + waste)) + (imports ? importMs : 0),
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

/** Returns a 32-bit seed for a router. */
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

import * as eligibility from './eligibility.js';
import type * as homeRanker from './home-ranker.js';
import * as leastLoad from './least-load.js';
import * as nearEqual from './near-equal.js';
import type * as placementPolicy from './placement-policy.js';
import type * as placementRequest from './placement-request.js';
import type * as placementView from './placement-view.js';

/** Options of {@link BoundedRendezvous}. */
export type BoundedRendezvousOptions = {
	/** A home endpoint takes requests up to this multiple of the mean load of the pool. */
	readonly boundFactor: number;
	/** Difference in load per unit of capacity up to which several homes count as equally loaded. */
	readonly tolerance: number;
	/** 32-bit seed; differs between routers. */
	readonly seed: number;
};

/**
 * Places a prompt on one of its home endpoints, which are chosen by rendezvous hashing, level by level: the homes of a deeper
 * level of the prefix are a subset of those of the level above, so prompts with a longer shared prefix are placed on fewer
 * endpoints. Homes above the load bound are skipped.
 */
export class BoundedRendezvous implements placementPolicy.PlacementPolicy {
	readonly #ranker: homeRanker.HomeRanker;
	readonly #fallback: leastLoad.LeastLoad;
	readonly #boundFactor: number;
	readonly #tolerance: number;
	readonly #seed: number;
	#decisions = 0;

	constructor(ranker: homeRanker.HomeRanker, fallback: leastLoad.LeastLoad, options: BoundedRendezvousOptions) {
		this.#ranker = ranker;
		this.#fallback = fallback;
		this.#boundFactor = options.boundFactor;
		this.#tolerance = options.tolerance;
		this.#seed = options.seed;
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

		const bound = loadBound(eligible, this.#boundFactor);
		const {homes, spillEndpoints} = rankHomes(this.#ranker, eligible, homeLevels(request, view, now));
		this.#decisions += 1;
		const open = homes.filter(home => leastLoad.relativeLoad(home) <= bound);
		const chosen = nearEqual.pickNearEqual(open, leastLoad.relativeLoad, this.#tolerance, this.#seed + this.#decisions)
			?? spillEndpoints.find(home => leastLoad.relativeLoad(home) <= bound)
			?? this.#fallback.choose(eligible)!;
		return eligibility.createPlacement(chosen, request, eligibility.confirmedCachedTokens(chosen, view.hits(request)));
	}
}

/** One shared level of a prefix, with its number of home endpoints. */
export type HomeLevel = {
	readonly key: string;
	readonly homes: number;
};

/** Returns the shared levels of a prompt, from the shortest prefix to the longest. */
export function homeLevels(
	request: placementRequest.PlacementRequest,
	view: placementView.PlacementView,
	now: number,
): HomeLevel[] {
	return view.levels(request.homeKeys, now).map(index => {
		const key = request.homeKeys[index]!;
		return {key, homes: view.homeCount(key, now)};
	});
}

/** Endpoints for a prompt in order of preference. */
export type RankedHomes = {
	/** Home endpoints of the deepest level, best first. */
	readonly homes: readonly placementView.EndpointView[];
	/** Endpoints for the prompt when all homes are overloaded; homes of the levels above come first. */
	readonly spillEndpoints: readonly placementView.EndpointView[];
};

const maxSpillEndpoints = 8;

/**
 * Ranks the endpoints for a prompt. The homes of a deeper level are chosen among those of the level above. The remaining homes
 * of the level above are the first spill endpoints, in the order of the deeper level.
 */
export function rankHomes(
	ranker: homeRanker.HomeRanker,
	eligible: readonly placementView.EndpointView[],
	levels: readonly HomeLevel[],
): RankedHomes {
	let homes = eligible;
	let spillEndpoints: readonly placementView.EndpointView[] = [];
	for (const level of levels) {
		const count = Math.min(homes.length, Math.max(1, level.homes));
		const ranked = ranker.rank(level.key, homes, Math.min(homes.length, count + maxSpillEndpoints));
		homes = ranked.slice(0, count);
		spillEndpoints = [...ranked.slice(count), ...spillEndpoints].slice(0, maxSpillEndpoints);
	}

	return {homes, spillEndpoints};
}

function loadBound(endpoints: readonly placementView.EndpointView[], factor: number): number {
	let load = 0;
	let capacity = 0;
	for (const endpoint of endpoints) {
		load += endpoint.load;
		capacity += Math.max(1, endpoint.capacity);
	}

	// One is added to the load so that the bound stays above zero in an idle pool.
	return factor * (load + 1) / capacity;
}

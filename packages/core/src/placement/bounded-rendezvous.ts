import * as eligibility from './eligibility.js';
import type * as homeRanker from './home-ranker.js';
import * as leastLoad from './least-load.js';
import type * as placementPolicy from './placement-policy.js';
import type * as placementRequest from './placement-request.js';
import type * as placementView from './placement-view.js';

/**
 * Takes homes by rendezvous, level by level: the homes of a deeper level are chosen among those of the level above,
 * so that prompts which share more go to fewer endpoints. A home above the load bound is passed over.
 */
export class BoundedRendezvous implements placementPolicy.PlacementPolicy {
	readonly #ranker: homeRanker.HomeRanker;
	readonly #fallback: leastLoad.LeastLoad;
	readonly #boundFactor: number;

	/** @param boundFactor - A home takes work up to this multiple of the mean load of the pool. */
	constructor(ranker: homeRanker.HomeRanker, fallback: leastLoad.LeastLoad, boundFactor: number) {
		this.#ranker = ranker;
		this.#fallback = fallback;
		this.#boundFactor = boundFactor;
	}

	place(
		request: placementRequest.PlacementRequest,
		view: placementView.PlacementView,
		now: number,
	): placementRequest.Placement | undefined {
		const eligible = eligibility.listEligible(request, view);
		const firstKey = request.homeKeys[0];
		if (firstKey === undefined || eligible.length === 0) {
			return this.#fallback.place(request, view);
		}

		const bound = loadBound(eligible, this.#boundFactor);
		const homes = rankHomes(this.#ranker, eligible, homeLevels(request, view, now));
		const chosen = homes.find(home => leastLoad.relativeLoad(home) <= bound)
			?? this.#ranker.rank(firstKey, eligible, eligible.length).find(home => leastLoad.relativeLoad(home) <= bound)
			?? homes[0]!;
		return eligibility.placeOn(chosen, request, eligibility.claimedTokens(chosen, view.hits(request)));
	}
}

/** One shared level of a prefix, with the number of homes that it gets. */
export type HomeLevel = {
	readonly key: string;
	readonly homes: number;
};

/** Returns the shared levels of a prompt, first level first. */
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

/** Returns the homes of a prompt, best first: ranked by the deepest shared level within the homes of the levels above. */
export function rankHomes(
	ranker: homeRanker.HomeRanker,
	eligible: readonly placementView.EndpointView[],
	levels: readonly HomeLevel[],
): placementView.EndpointView[] {
	let homes = [...eligible];
	for (const level of levels) {
		homes = ranker.rank(level.key, homes, Math.min(homes.length, Math.max(1, level.homes)));
	}

	return homes;
}

function loadBound(endpoints: readonly placementView.EndpointView[], factor: number): number {
	let load = 0;
	let capacity = 0;
	for (const endpoint of endpoints) {
		load += endpoint.load;
		capacity += Math.max(1, endpoint.capacity);
	}

	// Room for one request more on the smallest share keeps the bound above zero in an idle pool.
	return factor * (load + 1) / capacity;
}

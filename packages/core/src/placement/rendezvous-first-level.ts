import * as eligibility from './eligibility.js';
import type * as homeRanker from './home-ranker.js';
import type * as leastLoad from './least-load.js';
import type * as placementPolicy from './placement-policy.js';
import type * as placementRequest from './placement-request.js';
import type * as placementView from './placement-view.js';

/**
 * Chooses the first home of the first level of the prefix, regardless of its load. Prompts without a whole piece are placed by
 * least load.
 */
export class RendezvousFirstLevel implements placementPolicy.PlacementPolicy {
	readonly #ranker: homeRanker.HomeRanker;
	readonly #fallback: leastLoad.LeastLoad;

	constructor(ranker: homeRanker.HomeRanker, fallback: leastLoad.LeastLoad) {
		this.#ranker = ranker;
		this.#fallback = fallback;
	}

	place(
		request: placementRequest.PlacementRequest,
		view: placementView.PlacementView,
	): placementRequest.Placement | undefined {
		const firstKey = request.homeKeys[0];
		if (firstKey === undefined) {
			return this.#fallback.place(request, view);
		}

		const [home] = this.#ranker.rank(firstKey, eligibility.listEligible(request, view), 1);
		return home && eligibility.createPlacement(home, request, eligibility.confirmedCachedTokens(home, view.hits(request)));
	}
}

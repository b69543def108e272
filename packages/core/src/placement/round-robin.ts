import * as eligibility from './eligibility.js';
import type * as placementPolicy from './placement-policy.js';
import type * as placementRequest from './placement-request.js';
import type * as placementView from './placement-view.js';

/** Chooses the eligible endpoints in turn. */
export class RoundRobin implements placementPolicy.PlacementPolicy {
	#next: number;

	/** @param seed - First position; differs between routers so that they do not choose the same endpoint at the same time. */
	constructor(seed: number) {
		this.#next = seed;
	}

	place(
		request: placementRequest.PlacementRequest,
		view: placementView.PlacementView,
	): placementRequest.Placement | undefined {
		const candidates = eligibility.listEligible(request, view);
		if (candidates.length === 0) {
			return undefined;
		}

		const chosen = candidates[this.#next % candidates.length]!;
		this.#next += 1;
		return eligibility.createPlacement(chosen, request, eligibility.confirmedCachedTokens(chosen, view.hits(request)));
	}
}

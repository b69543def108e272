import * as eligibility from './eligibility.js';
import * as nearEqual from './near-equal.js';
import type * as placementPolicy from './placement-policy.js';
import type * as placementRequest from './placement-request.js';
import type * as placementView from './placement-view.js';

/** Chooses the endpoint with the lowest load relative to its capacity; picks among nearly equal ones by the router's seed. */
export class LeastLoad implements placementPolicy.PlacementPolicy {
	readonly #seed: number;
	readonly #tolerance: number;
	#decisions = 0;

	/**
	 * @param seed - 32-bit seed; differs between routers.
	 * @param tolerance - Difference in load per unit of capacity up to which endpoints count as equally loaded.
	 */
	constructor(seed: number, tolerance: number) {
		this.#seed = seed;
		this.#tolerance = tolerance;
	}

	place(
		request: placementRequest.PlacementRequest,
		view: placementView.PlacementView,
	): placementRequest.Placement | undefined {
		const chosen = this.choose(eligibility.listEligible(request, view));
		if (chosen === undefined) {
			return undefined;
		}

		return eligibility.createPlacement(chosen, request, eligibility.confirmedCachedTokens(chosen, view.hits(request)));
	}

	/** Returns the endpoint with the lowest relative load, or `undefined` without candidates. */
	choose(candidates: readonly placementView.EndpointView[]): placementView.EndpointView | undefined {
		this.#decisions += 1;
		return nearEqual.pickNearEqual(candidates, relativeLoad, this.#tolerance, this.#seed + this.#decisions);
	}
}

/** Returns the load of an endpoint relative to its capacity; 1 means that all slots are occupied. */
export function relativeLoad(endpoint: placementView.EndpointView): number {
	return endpoint.load / Math.max(0.1, endpoint.capacity);
}

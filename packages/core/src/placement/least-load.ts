import * as eligibility from './eligibility.js';
import * as nearEqual from './near-equal.js';
import type * as placementPolicy from './placement-policy.js';
import type * as placementRequest from './placement-request.js';
import type * as placementView from './placement-view.js';

/** Takes the endpoint with the least load for its capacity; near-equals by a seed of the router. */
export class LeastLoad implements placementPolicy.PlacementPolicy {
	readonly #seed: number;
	readonly #tolerance: number;
	#decisions = 0;

	/**
	 * @param seed - 32-bit seed that differs between routers.
	 * @param tolerance - Load per unit of capacity that counts as equal.
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

	/** Returns the endpoint with the least load, or `undefined` when there are none. */
	choose(candidates: readonly placementView.EndpointView[]): placementView.EndpointView | undefined {
		this.#decisions += 1;
		return nearEqual.pickNearEqual(candidates, relativeLoad, this.#tolerance, this.#seed + this.#decisions);
	}
}

/** Returns the load of an endpoint for its capacity: 1 means that all slots are taken. */
export function relativeLoad(endpoint: placementView.EndpointView): number {
	return endpoint.load / Math.max(0.1, endpoint.capacity);
}

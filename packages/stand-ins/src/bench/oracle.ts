import * as core from '@bluebellmast/core';

/** Weights of the oracle's costs. */
export type OracleWeights = {
	/** Cost of a millisecond of prefill beyond the time it takes, while fewer engines hold the prefix than its rate asks for. */
	readonly wasteBelowTarget: number;
	/** The same when enough engines hold it. */
	readonly waste: number;
	/** Milliseconds for an endpoint whose slots are all taken. */
	readonly occupancyMs: number;
};

/**
 * The bound that the policies are compared with: one mind that sees all engines' caches and loads at once and takes the
 * cheapest of all. Greedy: it does not know the requests to come.
 */
export class Oracle implements core.placement.PlacementPolicy {
	constructor(private readonly weights: OracleWeights) {}

	place(
		request: core.placement.PlacementRequest,
		view: core.placement.PlacementView,
		now: number,
	): core.placement.Placement | undefined {
		const hits = view.hits(request);
		const wanted = view.homeCount(request.homeKeys[0]!, now);
		const waste = core.placement.countHolders(request, hits) < wanted ? this.weights.wasteBelowTarget : this.weights.waste;
		const costs = core.placement.listEligible(request, view).map(endpoint => {
			const cachedTokens = core.placement.confirmedCachedTokens(endpoint, hits);
			return {endpoint, cachedTokens, costMs: this.#cost(endpoint, request.promptTokens - cachedTokens, waste)};
		});
		const best = costs.sort((left, right) => left.costMs - right.costMs)[0];
		return best && core.placement.createPlacement(best.endpoint, request, best.cachedTokens);
	}

	#cost(endpoint: core.placement.EndpointView, missingTokens: number, waste: number): number {
		const missingMs = missingTokens / endpoint.prefillTokensPerMs;
		const occupancyMs = core.placement.relativeLoad(endpoint) * this.weights.occupancyMs;
		return endpoint.queueMs + occupancyMs + (missingMs * (1 + waste));
	}
}

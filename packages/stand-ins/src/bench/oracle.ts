import * as core from '@bluebellmast/core';

/** Weights of the oracle's cost function. */
export type OracleWeights = {
	/** Extra cost of a millisecond of prefill while fewer engines hold the prefix than its request rate calls for. */
	readonly wasteBelowTargetHolders: number;
	/** Extra cost of a millisecond of prefill when enough engines hold the prefix. */
	readonly waste: number;
	/** Cost of an endpoint whose slots are all in use, in milliseconds. */
	readonly occupancyMs: number;
};

/**
 * Reference that the policies are compared with: a single router that observes all caches and loads without delay and chooses
 * the endpoint with the lowest cost. Greedy: it does not know future requests.
 */
export class Oracle implements core.placement.PlacementPolicy {
	constructor(private readonly weights: OracleWeights) {}

	place(
		request: core.placement.PlacementRequest,
		view: core.placement.PlacementView,
		now: number,
	): core.placement.Placement | undefined {
		const hits = view.hits(request);
		const targetHolders = view.homeCount(request.homeKeys[0]!, now);
		const waste = core.placement.countHolders(request, hits) < targetHolders ? this.weights.wasteBelowTargetHolders : this.weights.waste;
		const costs = core.placement.listEligible(request, view).map(endpoint => {
			const cachedTokens = core.placement.confirmedCachedTokens(endpoint, hits);
			return {endpoint, cachedTokens, costMs: this.#cost(endpoint, request.promptTokens - cachedTokens, waste)};
		});
		const best = costs.sort((left, right) => left.costMs - right.costMs)[0];
		return best && core.placement.createPlacement(best.endpoint, request, best.cachedTokens);
	}

	#cost(endpoint: core.placement.EndpointView, uncachedTokens: number, waste: number): number {
		const uncachedMs = uncachedTokens / endpoint.prefillTokensPerMs;
		const occupancyMs = core.placement.relativeLoad(endpoint) * this.weights.occupancyMs;
		return endpoint.queueMs + occupancyMs + (uncachedMs * (1 + waste));
	}
}

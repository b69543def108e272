import * as invariant from '../util/invariant.js';
import type * as placementRequest from './placement-request.js';
import type * as placementView from './placement-view.js';

/** Returns whether an endpoint may be chosen for a request. */
export function isEligible(endpoint: placementView.EndpointView, request: placementRequest.PlacementRequest): boolean {
	return endpoint.reachable
		&& !endpoint.leaving
		&& !endpoint.draining
		&& endpoint.service === request.service
		&& !request.excluded.has(endpoint.endpoint)
		&& (request.weights === undefined || (endpoint.takesPrompts && endpoint.weights.has(request.weights)));
}

/** Returns the endpoints that may be chosen for a request, in the order of the view. */
export function listEligible(
	request: placementRequest.PlacementRequest,
	view: placementView.PlacementView,
): placementView.EndpointView[] {
	return view.endpoints.filter(endpoint => isEligible(endpoint, request));
}

/** Creates the placement on an endpoint; asserts that the endpoint is eligible for the request. */
export function createPlacement(
	endpoint: placementView.EndpointView,
	request: placementRequest.PlacementRequest,
	expectedCachedTokens: number,
	importKeys: readonly string[] = [],
): placementRequest.Placement {
	invariant.assertInvariant(
		isEligible(endpoint, request),
		'placement.eligible',
		() => `request ${request.requestId} is placed on endpoint ${endpoint.endpoint}, which is not eligible`,
	);
	return {
		endpoint: endpoint.endpoint,
		...(endpoint.incarnation !== undefined && {incarnation: endpoint.incarnation}),
		expectedCachedTokens,
		importKeys,
	};
}

/** Returns the confirmed prompt tokens that an endpoint has cached in its current incarnation. */
export function confirmedCachedTokens(
	endpoint: placementView.EndpointView,
	hits: readonly placementView.PrefixHit[],
): number {
	return estimateCachedTokens(endpoint, hits, 0);
}

/** Returns the number of engines that hold at least half of a prompt. */
export function countHolders(
	request: placementRequest.PlacementRequest,
	hits: readonly placementView.PrefixHit[],
): number {
	return hits.filter(hit => hit.tokensWithUnconfirmed * 2 >= request.promptTokens).length;
}

/**
 * Estimates the prompt tokens that an endpoint has cached in its current incarnation.
 *
 * @param doubt - Share of unconfirmed tokens that counts as cached, 0 to 1.
 */
export function estimateCachedTokens(
	endpoint: placementView.EndpointView,
	hits: readonly placementView.PrefixHit[],
	doubt: number,
): number {
	const hit = hits.find(candidate => candidate.endpoint === endpoint.endpoint);
	if (hit === undefined || hit.incarnation !== endpoint.incarnation) {
		return 0;
	}

	return hit.tokens + ((hit.tokensWithUnconfirmed - hit.tokens) * doubt);
}

import type * as placementRequest from './placement-request.js';
import type * as placementView from './placement-view.js';

/** Chooses the endpoint for a request. */
export interface PlacementPolicy { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/**
	 * Returns the placement of the request, or `undefined` when no endpoint is eligible.
	 *
	 * @param now - Current time in milliseconds.
	 */
	place(
		request: placementRequest.PlacementRequest,
		view: placementView.PlacementView,
		now: number,
	): placementRequest.Placement | undefined;
}

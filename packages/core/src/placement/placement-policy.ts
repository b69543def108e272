import type * as placementRequest from './placement-request.js';
import type * as placementView from './placement-view.js';

/** Chooses the endpoint of a request. */
export interface PlacementPolicy { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/**
	 * Returns where the request goes, or `undefined` when no endpoint may take it.
	 *
	 * @param now - Present time in milliseconds.
	 */
	place(
		request: placementRequest.PlacementRequest,
		view: placementView.PlacementView,
		now: number,
	): placementRequest.Placement | undefined;
}

import type * as endpoints from '../endpoints/index.js';
import type * as endpointPlacer from '../placement/endpoint-placer.js';

/** One send of a request, under way or ended. */
export type SentAttempt = {
	/** Names the send among all sends of this VM. */
	readonly id: string;
	readonly placement: endpointPlacer.Placement;
	readonly attempt: endpoints.EndpointAttempt;
	/** Whether any part of its answer has arrived. */
	hasResponseStarted: boolean;
	/** Absent while it is under way. */
	end?: endpoints.AttemptEnd;
};

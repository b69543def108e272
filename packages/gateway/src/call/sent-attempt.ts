import type * as endpoints from '../endpoints/index.js';
import type * as endpointPlacer from '../placement/endpoint-placer.js';
import type * as heldResponse from './held-response.js';
import type * as heldStream from './held-stream.js';

/** An attempt to send a request to an endpoint, in progress or ended. */
export type SentAttempt = {
	/** Identifies the attempt among all attempts of this VM. */
	readonly id: string;
	readonly placement: endpointPlacer.Placement;
	readonly attempt: endpoints.EndpointAttempt;
	/** VM through which the connection goes; absent if it is direct. */
	readonly helper?: string;
	/** Resolves when the attempt has ended and its end is recorded. */
	ended: Promise<void>;
	/** Whether any part of the response has arrived. */
	hasResponseStarted: boolean;
	/** Whether a response has arrived that is not relayed. */
	isDiscarded?: boolean;
	/** What has arrived of a stream that is not relayed yet. */
	held?: heldStream.HeldStream;
	/** What has arrived of an error response that is relayed only if no other attempt delivers. */
	errorResponse?: heldResponse.HeldResponse;
	/** Whether the endpoint broke the attempt off, other than by a refusal. */
	isInterrupted?: boolean;
	/** Absent while the attempt is in progress. */
	end?: endpoints.AttemptResult;
};

import type * as core from '@bluebellmast/core';

/** Carries out the effects of a request's life. Each returns the event that follows. */
export interface RequestActions { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Chooses an endpoint for a new attempt. */
	place(): core.request.RequestEvent;
	/** Sends the present attempt and follows its answer to the end or to a failure. */
	dispatch(): Promise<core.request.RequestEvent>;
	/** Follows the present attempt's answer again after the last event. */
	resume(): Promise<core.request.RequestEvent>;
	/** Tells the caller to drop what it has. */
	restart(): Promise<void>;
	/** Cancels the present attempt at its endpoint. */
	cancel(): void;
	/** Ends the answer, which is whole. */
	finish(): void;
	/** Ends the request with a refusal, or a stream with a typed error. */
	refuse(refusal: core.model.Refusal): void;
}

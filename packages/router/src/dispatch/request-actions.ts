import type * as core from '@bluebellmast/core';

/** Executes the effects of the request state machine. Methods that return an event return the next input of the machine. */
export interface RequestActions { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Chooses an endpoint for a new attempt. */
	place(): core.request.RequestEvent;
	/** Sends the current attempt and processes its response until it ends or fails. */
	dispatch(): Promise<core.request.RequestEvent>;
	/** Reconnects to the response of the current attempt and continues after the last event. */
	resume(): Promise<core.request.RequestEvent>;
	/** Tells the caller to discard the text received so far. */
	restart(): Promise<void>;
	/** Cancels the current attempt at its endpoint. */
	cancel(): void;
	/** Finishes a complete response. */
	finish(): void;
	/** Ends the request with a refusal, or, if the stream has started, with an `error` event. */
	refuse(refusal: core.model.Refusal): void;
}

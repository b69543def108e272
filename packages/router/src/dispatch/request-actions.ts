import type * as core from '@bluebellmast/core';

type FailedEvent = Extract<core.request.RequestEvent, {readonly type: core.request.RequestEventType.Failed}>;

/** Event that an action leads to. Whether a failed attempt may be retried is decided when the event is applied. */
export type ActionEvent =
	| Exclude<core.request.RequestEvent, {readonly type: core.request.RequestEventType.Failed}>
	| Omit<FailedEvent, 'retryAllowed'>;

/** Executes the effects of the request state machine. Methods that return an event return the next input of the machine. */
export interface RequestActions { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Chooses an endpoint for a new attempt. */
	place(): ActionEvent;
	/** Sends the current attempt and processes its response until it ends or fails. */
	dispatch(): Promise<ActionEvent>;
	/** Reconnects to the response of the current attempt and continues after the last event. */
	resume(): Promise<ActionEvent>;
	/** Tells the caller to discard the text received so far. */
	restart(): Promise<void>;
	/** Cancels the current attempt at its endpoint. */
	cancel(): void;
	/** Finishes a complete response. */
	finish(): void;
	/** Ends the request with a refusal, or, if the stream has started, with an `error` event. */
	refuse(refusal: core.model.Refusal): void;
}

import type * as core from '@bluebellmast/core';
import type * as wire from '@bluebellmast/wire';

/** Complete response of an endpoint, buffered before it is passed on. */
export type BufferedResponse = {
	readonly status: number;
	readonly contentType: string;
	readonly body: Uint8Array;
};

/** Writes the response to one request. Exactly one final response is sent. */
export interface ResponseWriter { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Whether the final response was sent. */
	readonly isFinished: boolean;
	/** Whether the caller disconnected before the complete response was sent. */
	readonly isCallerDisconnected: boolean;
	/** Whether any part of the response, headers included, was sent to the caller. */
	readonly hasStarted: boolean;
	/** Registers a callback for a caller that disconnects before the complete response was sent. */
	onCallerDisconnect(listener: () => void): void;
	/** Sends a refusal as the final response. If a stream has started, the refusal is sent as an `error` event that ends it. */
	sendRefusal(refusal: core.model.Refusal): void;
	/** Sends a JSON value as the final response. */
	sendJson(statusCode: number, value: unknown): void;
	/** Sends a buffered response of an endpoint as the final response. */
	sendBuffered(response: BufferedResponse): void;
	/** Starts a stream of server-sent events. */
	startStream(headers: Readonly<Partial<Record<wire.http.HeaderName, string>>>): void;
	/** Sends one event and waits while the caller's send buffer is full. */
	sendEvent(id: number, data: string, eventName?: string): Promise<void>;
	/** Ends a complete stream. */
	endStream(): void;
}

import type * as core from '@bluebellmast/core';
import type * as wire from '@bluebellmast/wire';

/** An answer of an endpoint that is passed on whole. */
export type BufferedResponse = {
	readonly status: number;
	readonly contentType: string;
	readonly body: Uint8Array;
};

/** The answer to one request. Exactly one final answer is given. */
export interface ResponseWriter { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Whether the final answer was given. */
	readonly isFinished: boolean;
	/** Whether the caller went away before the whole answer was sent. */
	readonly isCallerDisconnected: boolean;
	/** Whether any byte was given to the caller. */
	readonly hasStarted: boolean;
	/** Calls back when the caller goes away before the answer is whole. */
	onCallerDisconnect(listener: () => void): void;
	/** Gives a refusal as the final answer; within a stream it becomes a typed error event. */
	sendRefusal(refusal: core.model.Refusal): void;
	/** Gives a JSON value as the final answer. */
	sendJson(statusCode: number, value: unknown): void;
	/** Gives an endpoint's whole answer as the final answer. */
	sendBuffered(answer: BufferedResponse): void;
	/** Begins a stream of server-sent events. */
	startStream(headers: Readonly<Partial<Record<wire.http.HeaderName, string>>>): void;
	/** Sends one event, and waits while the caller's connection holds a full buffer. */
	sendEvent(id: number, data: string, eventName?: string): Promise<void>;
	/** Ends a stream that is whole. */
	endStream(): void;
}

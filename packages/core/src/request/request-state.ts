import type * as model from '../model/index.js';
import type * as attempt from './attempt.js';

/** Properties of a request that are fixed when it is admitted. */
export type RequestOptions = {
	readonly requestId: model.RequestId;
	/** Whether the request may be executed more than once. */
	readonly repeatable: boolean;
	/** Time by which the response must have started, in milliseconds since the Unix epoch. */
	readonly deadlineAt: number;
	/** Maximum number of attempts. */
	readonly maxAttempts: number;
	/** Maximum number of consecutive resumes without a new event. */
	readonly maxResumes: number;
	/** Whether the response is a stream that engines can resume by event id. */
	readonly resumable: boolean;
	/** Whether engines can continue from a given prefix of the response text. */
	readonly supportsForcedPrefix: boolean;
};

/** State of a request, apart from its phase. */
export type RequestState = {
	readonly options: RequestOptions;
	/** All attempts in order; the last one is the current attempt. */
	readonly attempts: readonly attempt.Attempt[];
	/** Whether the response to the caller has started. */
	readonly hasResponseStarted: boolean;
	/** Whether the caller has received text of the response; false again after a restart event. */
	readonly hasDeliveredText: boolean;
	/** Number of resumes of the current attempt since its last event. */
	readonly resumeCount: number;
	/** Why the current attempt failed last; absent before the first failure. */
	readonly lastFailure?: FailureCause;
	/** Why the request ended without a complete response; absent otherwise. */
	readonly code?: model.ErrorCode;
};

/** Why an attempt failed. */
export enum FailureCause {
	/** No connection could be opened. */
	ConnectFailed = 'connect_failed',
	/** The endpoint reported that it refused the request before executing it. */
	Refused = 'refused',
	/** The connection was lost or no data arrived in time. */
	ConnectionLost = 'connection_lost',
	/** The endpoint's incarnation no longer exists, or the endpoint no longer has the stream. */
	EndpointGone = 'endpoint_gone',
	/** The endpoint responded with an error. */
	EndpointError = 'endpoint_error',
	/** The response belongs to another attempt. */
	MismatchedResponse = 'wrong_answer',
	/** The weights that produce the response were recalled. */
	WeightsRecalled = 'weights_recalled',
}

/** Type of an event of a request. */
export enum RequestEventType {
	/** An endpoint was chosen for a new attempt. */
	Placed = 'placed',
	/** No endpoint is available, or the request is refused before an attempt. */
	Refused = 'refused',
	/** A connection is being opened. */
	Connecting = 'connecting',
	/** Bytes of the request are about to be written. */
	Sending = 'sending',
	/** The endpoint started to respond, with a matching attempt id. */
	ResponseStarted = 'answer_begun',
	/** Bytes of the response were sent to the caller. */
	Delivered = 'delivered',
	/** The complete response was received and was or is being sent to the caller. */
	Completed = 'completed',
	/** The current attempt failed. */
	Failed = 'failed',
	/** The deadline passed before the response started. */
	DeadlinePassed = 'deadline_passed',
	/** The caller closed its connection. */
	CallerDisconnected = 'caller_gone',
}

/** An event of a request. */
export type RequestEvent =
	| {readonly type: RequestEventType.Placed; readonly attemptId: model.AttemptId; readonly endpoint: model.EndpointId}
	| {readonly type: RequestEventType.Refused; readonly code: model.ErrorCode}
	| {readonly type: RequestEventType.Connecting}
	| {readonly type: RequestEventType.Sending}
	| {readonly type: RequestEventType.ResponseStarted; readonly incarnation: model.Incarnation}
	| {readonly type: RequestEventType.Delivered}
	| {readonly type: RequestEventType.Completed}
	| {
		readonly type: RequestEventType.Failed;
		readonly cause: FailureCause;
		/** Whether the retry budget allows a retry. */
		readonly retryAllowed: boolean;
		/** Error code for the caller when the request ends with this failure. */
		readonly code: model.ErrorCode;
	}
	| {readonly type: RequestEventType.DeadlinePassed}
	| {readonly type: RequestEventType.CallerDisconnected};

/** An effect that the router carries out for a request. */
export enum RequestEffect {
	/** Choose an endpoint, then report a `placed` or `refused` event. */
	Place = 'place',
	/** Open a connection and send the current attempt. */
	Dispatch = 'dispatch',
	/** Reconnect to the same incarnation with the last event id. */
	Resume = 'resume',
	/** Choose an endpoint for a new attempt that continues the delivered text as a forced prefix. */
	Continue = 'continue',
	/** Send the caller a restart event, then choose an endpoint for a new attempt. */
	Restart = 'restart',
	/** Cancel the current attempt at its endpoint. */
	Cancel = 'cancel',
	/** Subtract one retry from the retry budget, before another request reads it. */
	CountRetry = 'count_retry',
	/** End the response to the caller. */
	Finish = 'finish',
	/** Respond to the caller with a refusal; the response has not started. */
	Refuse = 'refuse',
	/** End the stream with an error event; part of the response was delivered. */
	EndWithError = 'end_with_error',
}

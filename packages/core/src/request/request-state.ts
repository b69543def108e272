import type * as model from '../model/index.js';
import type * as attempt from './attempt.js';

/** What is fixed about a request when it is admitted. */
export type RequestOptions = {
	readonly requestId: model.RequestId;
	/** Whether the request may be carried out more than once. */
	readonly repeatable: boolean;
	/** Time by which the answer must have begun, in milliseconds since the epoch. */
	readonly deadlineAt: number;
	/** Attempts that may be made in all. */
	readonly maxAttempts: number;
	/** Resumes that may be made in a row without a new event. */
	readonly maxResumes: number;
	/** Whether the answer is a stream that engines can resume by event id. */
	readonly resumable: boolean;
	/** Whether engines can continue a given answer text. */
	readonly supportsForcedPrefix: boolean;
};

/** State of a request's life besides its phase. */
export type RequestState = {
	readonly options: RequestOptions;
	/** All attempts in order; the last is the present one. */
	readonly attempts: readonly attempt.Attempt[];
	/** Whether the answer to the caller has begun. */
	readonly hasResponseStarted: boolean;
	/** Whether the caller holds any text of the answer; false again after a restart event. */
	readonly hasDeliveredText: boolean;
	/** Resumes of the present attempt since its last event. */
	readonly resumeCount: number;
	/** Why the request ended, when it did without a whole answer. */
	readonly code?: model.ErrorCode;
};

/** How an attempt failed. */
export enum FailureCause {
	/** No connection could be opened. */
	ConnectFailed = 'connect_failed',
	/** The endpoint said that it refused the request before it began. */
	Refused = 'refused',
	/** The connection broke or went silent. */
	ConnectionLost = 'connection_lost',
	/** The endpoint's incarnation is gone, or it no longer holds the stream. */
	EndpointGone = 'endpoint_gone',
	/** The endpoint answered with a failure. */
	EndpointError = 'endpoint_error',
	/** An answer that belongs to another attempt came. */
	MismatchedResponse = 'wrong_answer',
	/** The weights that answer were recalled. */
	WeightsRecalled = 'weights_recalled',
}

/** Type of an event in a request's requestState. */
export enum RequestEventType {
	/** An endpoint was chosen for a new attempt. */
	Placed = 'placed',
	/** No endpoint can be chosen, or the request is refused before an attempt. */
	Refused = 'refused',
	/** A connection is being opened. */
	Connecting = 'connecting',
	/** Bytes of the request are about to be written. */
	Sending = 'sending',
	/** The endpoint began to answer, with a matching attempt id. */
	ResponseStarted = 'answer_begun',
	/** Bytes of the answer went to the caller. */
	Delivered = 'delivered',
	/** The whole answer is there, and was or is being given to the caller. */
	Completed = 'completed',
	/** The present attempt failed. */
	Failed = 'failed',
	/** The deadline passed before the answer began. */
	DeadlinePassed = 'deadline_passed',
	/** The caller went away. */
	CallerDisconnected = 'caller_gone',
}

/** An event in a request's requestState. */
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
		/** Code for the caller when the request ends with this failure. */
		readonly code: model.ErrorCode;
	}
	| {readonly type: RequestEventType.DeadlinePassed}
	| {readonly type: RequestEventType.CallerDisconnected};

/** What the router does next for a request. */
export enum RequestEffect {
	/** Choose an endpoint, then report `placed` or `refused`. */
	Place = 'place',
	/** Open a connection and send the present attempt. */
	Dispatch = 'dispatch',
	/** Reconnect to the same incarnation with the last event id. */
	Resume = 'resume',
	/** Choose an endpoint for a new attempt with the delivered text as forced prefix. */
	Continue = 'continue',
	/** Send the caller a restart event, then choose an endpoint for a new attempt. */
	Restart = 'restart',
	/** Cancel the present attempt at its endpoint. */
	Cancel = 'cancel',
	/** Take one retry out of the retry budget. */
	CountRetry = 'count_retry',
	/** End the answer towards the caller. */
	Finish = 'finish',
	/** Answer with a refusal; nothing was delivered. */
	Refuse = 'refuse',
	/** End the stream with a typed error event; a part was delivered. */
	EndWithError = 'end_with_error',
}

import type * as model from '../model/index.js';

/** Progress of an attempt at an endpoint, as far as the router knows. */
export enum AttemptProgress {
	/** The endpoint was chosen; no connection was opened. */
	NotStarted = 'not_begun',
	/** A connection is being opened; no byte of the request has been written. */
	Connecting = 'connecting',
	/** A byte of the request may have reached the endpoint. */
	MaybeSent = 'maybe_sent',
	/** The endpoint has started to send its response. */
	ResponseStarted = 'answer_begun',
	/** The complete response of the endpoint was received. */
	ResponseComplete = 'answered_whole',
	/** The endpoint reported that it refused the request before executing it. */
	RefusedBeforeExecution = 'refused_before_begin',
}

/** An attempt to execute a request at an endpoint. */
export type Attempt = {
	readonly id: model.AttemptId;
	readonly endpoint: model.EndpointId;
	readonly progress: AttemptProgress;
	/** Incarnation of the endpoint, once its response has named it. */
	readonly incarnation?: model.Incarnation;
};

/** Returns whether it is certain that no part of the attempt was executed or will be. */
export function isKnownNotExecuted(attempt: Attempt): boolean {
	switch (attempt.progress) {
		case AttemptProgress.NotStarted:
		case AttemptProgress.Connecting:
		case AttemptProgress.RefusedBeforeExecution: {
			return true;
		}

		case AttemptProgress.MaybeSent:
		case AttemptProgress.ResponseStarted:
		case AttemptProgress.ResponseComplete: {
			return false;
		}
	}
}

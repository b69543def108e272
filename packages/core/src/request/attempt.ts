import type * as model from '../model/index.js';

/** How far one attempt at one endpoint has come, as far as the router can tell. */
export enum AttemptProgress {
	/** Chosen, and nothing was done yet. */
	NotStarted = 'not_begun',
	/** A connection is being opened; no byte of the request was written. */
	Connecting = 'connecting',
	/** A byte of the request may have reached the endpoint. */
	MaybeSent = 'maybe_sent',
	/** The endpoint has begun to answer. */
	ResponseStarted = 'answer_begun',
	/** The endpoint has answered whole. */
	ResponseComplete = 'answered_whole',
	/** The endpoint said that it refused the request before it began. */
	RefusedBeforeExecution = 'refused_before_begin',
}

/** One try of a request at one endpoint. */
export type Attempt = {
	readonly id: model.AttemptId;
	readonly endpoint: model.EndpointId;
	readonly progress: AttemptProgress;
	/** Incarnation of the endpoint, once its answer names it. */
	readonly incarnation?: model.Incarnation;
};

/** Returns whether no part of the attempt can have been carried out, or can be later. */
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

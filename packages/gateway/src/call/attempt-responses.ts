import * as core from '@bluebellmast/core';
import * as endpoints from '../endpoints/index.js';
import type * as ports from '../ports/index.js';
import type * as activeAttempts from './active-attempts.js';
import type * as attemptRecorder from './attempt-recorder.js';
import * as heldResponse from './held-response.js';
import * as heldStream from './held-stream.js';
import type * as responseRelay from './response-relay.js';
import type * as sentAttempt from './sent-attempt.js';

/** Options of {@link AttemptResponses}. */
export type AttemptResponsesOptions = {
	readonly relay: responseRelay.ResponseRelay;
	readonly active: activeAttempts.ActiveAttempts;
	readonly recorder: attemptRecorder.AttemptRecorder;
	/** Called when the response of an attempt has begun that is held. */
	readonly onHeld: (sent: sentAttempt.SentAttempt) => void;
	/** Called when the response of the current attempt is relayed from now on. */
	readonly onBegun: (sent: sentAttempt.SentAttempt) => void;
	/** Whether the request may be executed more than once. */
	readonly isIdempotent: boolean;
	/** Whether another endpoint could take the request now; reserves a retry then. */
	readonly canSendAgain: () => boolean;
};

/**
 * Passes the responses of a request's attempts to the relay. A response that is not a stream is relayed from its head on. While a stream has several
 * attempts, the one with the first complete event is relayed, since an endpoint may break off after the mere head.
 */
export class AttemptResponses {
	constructor(private readonly options: AttemptResponsesOptions) {}

	/** Creates the sink of an attempt. */
	createSink(sent: sentAttempt.SentAttempt): endpoints.ResponseSink {
		const {relay, recorder, active} = this.options;
		return {
			onHead: (head, raw) => {
				recorder.recordHead(sent, head);
				recorder.recordProgress(sent);
				sent.isDiscarded = !this.#acceptsHead(sent, head);
				if (sent.isDiscarded) {
					sent.errorResponse = this.#mayRelay(head) ? new heldResponse.HeldResponse(head, raw) : undefined;
					return false;
				}

				if (relay.isStreamHead(head) && active.list().some(other => other !== sent)) {
					sent.held = new heldStream.HeldStream(head, raw);
					this.options.onHeld(sent);
					return true;
				}

				active.promote(sent);
				this.options.onBegun(sent);
				relay.onHead(head, raw);
				return true;
			},
			onData: chunk => sent.held === undefined
				? sent !== active.current || relay.onData(chunk)
				: this.#hold(sent, sent.held, chunk),
			onDiscardedData(chunk) {
				sent.errorResponse?.push(chunk);
			},
		};
	}

	/** Completes the response to the caller by that of an attempt. */
	complete(sent: sentAttempt.SentAttempt): void {
		this.#release(sent);
		this.options.relay.complete();
	}

	/** Relays the last complete error response of the given attempts. @returns Whether there is one, and the caller has received nothing else. */
	completeWithError(attempts: readonly sentAttempt.SentAttempt[]): boolean {
		const {relay} = this.options;
		const failed = attempts.findLast(({end, errorResponse}) => errorResponse !== undefined
			&& end?.progress === core.request.AttemptProgress.ResponseComplete);
		if (relay.hasStarted || failed === undefined) {
			return false;
		}

		failed.errorResponse!.relayTo(relay);
		relay.complete();
		return true;
	}

	/** Whether an attempt that has ended delivered a complete response. */
	isComplete({end, held}: sentAttempt.SentAttempt): boolean {
		const {relay} = this.options;
		const isSound = held === undefined
			? !relay.hasIncompleteEvent && !relay.hasSequenceError && !relay.isEmptyContinuation
			: !held.hasIncompleteEvent && !(relay.hasStarted && relay.isEventStream);
		return end !== undefined && end.fault === undefined && isSound;
	}

	/** Whether the endpoint broke an attempt off, other than by a refusal. */
	isInterrupted({held}: sentAttempt.SentAttempt, {fault, progress}: endpoints.AttemptResult): boolean {
		const isRefused = progress === core.request.AttemptProgress.RefusedBeforeExecution;
		return fault === undefined
			? (held ?? this.options.relay).hasIncompleteEvent
			: fault === endpoints.AttemptFault.ConnectionLost && !isRefused;
	}

	/** Keeps a chunk of a stream until its first event is complete; then the attempt becomes the current one. @returns Whether to continue reading. */
	#hold(sent: sentAttempt.SentAttempt, held: heldStream.HeldStream, chunk: Uint8Array): boolean {
		const {relay, active} = this.options;
		const batch = held.pushEvents(chunk);
		if (batch === undefined) {
			if (held.isEventTooLarge) {
				sent.attempt.abort(endpoints.AttemptFault.EndlessResponse);
			}

			return true;
		}

		if (!relay.continuesSequence(batch, relay.hasStarted)) {
			sent.attempt.abort(endpoints.AttemptFault.InvalidSequence);
			return true;
		}

		active.promote(sent);
		this.#release(sent);
		return !relay.isBlocked;
	}

	/** Relays what has arrived of the response of an attempt. */
	#release(sent: sentAttempt.SentAttempt): void {
		const {held} = sent;
		if (held !== undefined) {
			sent.held = undefined;
			this.options.onBegun(sent);
			held.relayTo(this.options.relay);
		}
	}

	/**
	 * Whether a response may ever be relayed: one of an endpoint that has executed the request must not have a status by which its caller
	 * repeats a request that may be executed only once.
	 */
	#mayRelay({hasNotExecutedStatus}: ports.ResponseHead): boolean {
		return this.options.isIdempotent || !hasNotExecutedStatus;
	}

	/** Whether a response is relayed; a server error is not, as long as another attempt may succeed, nor is another error while a stream has begun. */
	#acceptsHead(sent: sentAttempt.SentAttempt, head: ports.ResponseHead): boolean {
		const {relay, active, canSendAgain} = this.options;
		const others = active.list().filter(other => other !== sent && !other.isDiscarded);
		if (!this.#mayRelay(head) || !relay.canContinueWith(head.status) || (!relay.isStreamHead(head) && others.some(({held}) => held !== undefined))) {
			return false;
		}

		return head.status < 500 || !(others.length > 0 || canSendAgain());
	}
}

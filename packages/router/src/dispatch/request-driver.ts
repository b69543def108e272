import * as core from '@bluebellmast/core';
import type * as clock from '../util/clock.js';
import type * as timelineRecorder from '../util/timeline-recorder.js';
import type * as requestActions from './request-actions.js';
import type * as retryLimiter from './retry-limiter.js';

/** Delay that callers are asked to wait before a retry when endpoints failed. */
const retryAfterFailureMs = 1000;

/** Timeline event for each event of the request state machine that is recorded; failed attempts are recorded by their effects. */
const timelineTypeByEvent: Readonly<Partial<Record<core.request.RequestEventType, core.timeline.TimelineEventType>>> = {
	[core.request.RequestEventType.Placed]: core.timeline.TimelineEventType.RequestPlaced,
	[core.request.RequestEventType.Completed]: core.timeline.TimelineEventType.RequestAnswered,
	[core.request.RequestEventType.Refused]: core.timeline.TimelineEventType.RequestRefused,
	[core.request.RequestEventType.DeadlinePassed]: core.timeline.TimelineEventType.RequestRefused,
	[core.request.RequestEventType.CallerDisconnected]: core.timeline.TimelineEventType.RequestRefused,
};

/** Options and dependencies of a `RequestDriver`. */
export type RequestDriverOptions = {
	readonly request: core.request.RequestOptions;
	readonly clock: clock.Clock;
	readonly retries: retryLimiter.RetryLimiter;
	readonly recorder: timelineRecorder.TimelineRecorder;
	/** Client account of the request, for the timeline. */
	readonly account: core.model.AccountId;
};

/** Runs the state machine of one request: applies events and executes the resulting effects one after the other. */
export class RequestDriver {
	readonly #options: RequestDriverOptions;
	#state: core.request.RequestSnapshot;
	#effects: readonly core.request.RequestEffect[];
	#refusalMessage = '';
	#retryAfterMs: number | undefined;

	constructor(options: RequestDriverOptions) {
		this.#options = options;
		const initial = core.request.beginRequest(options.request);
		this.#state = initial.state;
		this.#effects = initial.effects;
	}

	/** All attempts so far; the last is the current one. */
	get attempts(): readonly core.request.Attempt[] {
		return this.#state.context.attempts;
	}

	/**
	 * Whether the next delivery must be reported to the state machine with a `Delivered` event. This is the case for the first
	 * delivery and for the first one after a resume, which resets the number of resumes.
	 */
	get needsDeliveredEvent(): boolean {
		return !this.#state.context.hasDeliveredText || this.#state.context.resumeCount > 0;
	}

	/** Applies an event that must have no effects; called while an effect is being executed. */
	applyEvent(event: core.request.RequestEvent): void {
		const step = core.request.stepRequest(this.#state, event, this.#options.clock.now());
		core.util.assertInvariant(step.effects.length === 0, 'request.note-without-effect', () => event.type);
		this.#state = step.state;
	}

	/** Sets the message and retry delay of the refusal, should the request end with one. */
	setRefusalDetails(message: string, retryAfterMs?: number): void {
		this.#refusalMessage = message;
		this.#retryAfterMs = retryAfterMs;
	}

	/** Sets the details of the refusal of a request that cannot be placed, and returns the event for it. */
	prepareRefusal(code: core.model.ErrorCode, message: string, retryAfterMs?: number): core.request.RequestEvent {
		this.setRefusalDetails(message, retryAfterMs);
		return {type: core.request.RequestEventType.Refused, code};
	}

	/** Sets the details of the refusal that may follow a failed attempt, and returns the event for the failure. */
	prepareFailure(cause: core.request.FailureCause, code: core.model.ErrorCode, message: string): requestActions.ActionEvent {
		this.setRefusalDetails(message, retryAfterFailureMs);
		return {type: core.request.RequestEventType.Failed, cause, code};
	}

	/** Runs the request until it ends. Returns whether it was executed, as far as that is known. */
	async run(actions: requestActions.RequestActions): Promise<core.model.ExecutionState> {
		this.#options.retries.countFirstAttempt();
		for (;;) {
			// eslint-disable-next-line no-await-in-loop
			const event = await this.#runEffects(actions);
			if (event === undefined) {
				return core.request.decideExecution(this.attempts, false);
			}

			this.#effects = this.#decide(event);
			this.#recordEvent(event, this.#effects);
		}
	}

	/**
	 * Applies the event that an action led to and returns the effects. Reads the retry budget and counts the retry without a wait
	 * in between, because many requests fail at the same moment when an endpoint fails.
	 */
	#decide(event: requestActions.ActionEvent): readonly core.request.RequestEffect[] {
		const {retries, clock} = this.#options;
		const machineEvent = event.type === core.request.RequestEventType.Failed
			? {...event, retryAllowed: retries.canRetry()}
			: event;
		const {state, effects} = core.request.stepRequest(this.#state, machineEvent, clock.now());
		this.#state = state;
		if (effects.includes(core.request.RequestEffect.CountRetry)) {
			retries.countRetry();
		}

		return effects;
	}

	/** Executes the effects in order. Returns the event that the last one leads to; `undefined` ends the request. */
	async #runEffects(actions: requestActions.RequestActions): Promise<requestActions.ActionEvent | undefined> {
		let event: requestActions.ActionEvent | undefined;
		for (const effect of this.#effects) {
			event = await this.#runEffect(effect, actions); // eslint-disable-line no-await-in-loop
		}

		return event;
	}

	async #runEffect(
		effect: core.request.RequestEffect,
		actions: requestActions.RequestActions,
	): Promise<requestActions.ActionEvent | undefined> {
		switch (effect) {
			case core.request.RequestEffect.Place:
			case core.request.RequestEffect.Continue: {
				return actions.place();
			}

			case core.request.RequestEffect.Dispatch: {
				return actions.dispatch();
			}

			case core.request.RequestEffect.Resume: {
				return actions.resume();
			}

			case core.request.RequestEffect.Restart: {
				await actions.restart();
				return actions.place();
			}

			case core.request.RequestEffect.Cancel: {
				actions.cancel();
				return undefined;
			}

			case core.request.RequestEffect.CountRetry: {
				// It was counted when it was decided.
				return undefined;
			}

			case core.request.RequestEffect.Finish: {
				actions.finish();
				return undefined;
			}

			case core.request.RequestEffect.Refuse:
			case core.request.RequestEffect.EndWithError: {
				actions.refuse(this.#createRefusal());
				return undefined;
			}
		}
	}

	/** Records the event in the timeline if it has an entry there. */
	#recordEvent(event: requestActions.ActionEvent, effects: readonly core.request.RequestEffect[]): void {
		const isResumed = effects.includes(core.request.RequestEffect.Resume);
		const type = event.type === core.request.RequestEventType.Failed || isResumed
			? timelineTypeOfFailure(effects)
			: timelineTypeByEvent[event.type];
		if (type === undefined) {
			return;
		}

		const endpoint = this.attempts.at(-1)?.endpoint;
		this.#options.recorder.record({
			type,
			requestId: this.#options.request.requestId,
			account: this.#options.account,
			...(endpoint !== undefined && {endpoint}),
			...('cause' in event && {detail: event.cause}),
			...(event.type === core.request.RequestEventType.Refused && {detail: event.code}),
		});
	}

	#createRefusal(): core.model.Refusal {
		const code = this.#state.context.code ?? core.model.ErrorCode.Internal;
		return core.request.createRefusal(code, this.attempts, {
			message: this.#refusalMessage === '' ? code : this.#refusalMessage,
			...(this.#retryAfterMs !== undefined && {retryAfterMs: this.#retryAfterMs}),
		});
	}
}

/** Returns the timeline event for a failed attempt, according to the effects that follow it. */
function timelineTypeOfFailure(effects: readonly core.request.RequestEffect[]): core.timeline.TimelineEventType {
	if (effects.includes(core.request.RequestEffect.Resume)) {
		return core.timeline.TimelineEventType.StreamResumed;
	}

	if (effects.includes(core.request.RequestEffect.Restart)) {
		return core.timeline.TimelineEventType.StreamRestarted;
	}

	return effects.includes(core.request.RequestEffect.CountRetry)
		? core.timeline.TimelineEventType.RequestRetried
		: core.timeline.TimelineEventType.RequestRefused;
}

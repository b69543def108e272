import * as crypto from 'node:crypto';
import * as timers from 'node:timers/promises';
import * as core from '@bluebellmast/core';
import type * as wire from '@bluebellmast/wire';
import * as attemptFailure from '../endpoints/attempt-failure.js';
import type * as engineAttempt from '../endpoints/engine-attempt.js';
import type * as engineClient from '../endpoints/engine-client.js';
import type * as call from '../filters/call.js';
import type * as requestContext from '../filters/request-context.js';
import type * as placer from '../placement/placer.js';
import * as noop from '../util/noop.js';
import * as createAbortEvent from './create-abort-event.js';
import * as chatRelay from './chat-relay.js';
import type * as recallWatcher from './recall-watcher.js';
import type * as requestActions from './request-actions.js';
import type * as requestDriver from './request-driver.js';

/** Pause before a resume at an engine that could not be connected to, in milliseconds. */
const reconnectPauseMs = 1000;

/** Dependencies of `ChatActions`. */
export type ChatActionsOptions = {
	readonly engines: engineClient.EngineClient;
	readonly placer: placer.Placer;
	readonly recallWatcher: recallWatcher.RecallWatcher;
};

/** Processes one chat call: places its attempts, sends them to engines and relays the response to the caller. */
export class ChatActions implements requestActions.RequestActions {
	readonly #ctx: requestContext.RequestContext;
	readonly #call: call.ChatCall;
	readonly #driver: requestDriver.RequestDriver;
	readonly #options: ChatActionsOptions;
	readonly #relay: chatRelay.ChatRelay;
	readonly #excludedEndpoints = new Set<core.model.EndpointId>();
	#target: placer.ChatTarget | undefined;
	#attempt: engineAttempt.EngineAttempt | undefined;
	#incarnation: core.model.Incarnation | undefined;
	/** Whether the last call of the current attempt could not connect. */
	#isUnreachable = false;

	constructor(
		ctx: requestContext.RequestContext,
		chatCall: call.ChatCall,
		driver: requestDriver.RequestDriver,
		options: ChatActionsOptions,
	) {
		this.#ctx = ctx;
		this.#call = chatCall;
		this.#driver = driver;
		this.#options = options;
		this.#relay = new chatRelay.ChatRelay(ctx, chatCall, driver);
		options.placer.recordArrival(ctx);
	}

	place(): requestActions.ActionEvent {
		const abortEvent = this.#createAbortEvent();
		if (abortEvent !== undefined) {
			return abortEvent;
		}

		const placement = this.#options.placer.placeChat(this.#ctx, this.#call, this.#excludedEndpoints);
		return core.util.matchEither(
			placement,
			error => this.#driver.prepareRefusal(error.code, error.message, error.retryAfterMs),
			target => this.#beginAttempt(target),
		);
	}

	async dispatch(): Promise<requestActions.ActionEvent> {
		this.#driver.applyEvent({type: core.request.RequestEventType.Connecting});
		return this.#runAttempt(async options => this.#options.engines.open(this.#attempt!, options));
	}

	async resume(): Promise<requestActions.ActionEvent> {
		if (this.#isUnreachable) {
			await this.#pauseBeforeReconnect();
		}

		return this.#runAttempt(async options =>
			this.#options.engines.resume(this.#attempt!, this.#relay.lastEventId, {...options, onSend: noop.noop}));
	}

	async restart(): Promise<void> {
		await this.#relay.restart();
	}

	cancel(): void {
		void this.#options.engines.cancel(this.#attempt!);
	}

	finish(): void {
		if (this.#relay.usage !== undefined) {
			this.#ctx.usage = this.#relay.usage;
		}

		this.#relay.finish();
	}

	refuse(refusal: core.model.Refusal): void {
		if (!this.#ctx.response.isCallerDisconnected) {
			this.#ctx.response.sendRefusal(refusal);
		}
	}

	/** Ends early when the request's signal is aborted; the resume that follows then fails at once. */
	async #pauseBeforeReconnect(): Promise<void> {
		try {
			await timers.setTimeout(reconnectPauseMs, undefined, {signal: this.#ctx.signal!});
		} catch {
			// The signal was aborted.
		}
	}

	#beginAttempt(target: placer.ChatTarget): core.request.RequestEvent {
		const attemptId = crypto.randomUUID();
		this.#target = target;
		this.#incarnation = undefined;
		this.#attempt = {
			endpoint: target.endpoint,
			requestId: this.#ctx.id,
			attemptId,
			account: this.#ctx.account!.id,
			weights: target.weights,
			body: this.#createBody(target),
		};
		this.#relay.beginAttempt(attemptId);
		return {type: core.request.RequestEventType.Placed, attemptId, endpoint: target.endpoint.id};
	}

	#createBody(target: placer.ChatTarget): wire.endpoint.EngineCompletionRequest {
		/* eslint-disable @typescript-eslint/naming-convention */
		return {
			model: this.#call.model,
			messages: this.#call.messages,
			stream: true,
			max_tokens: this.#call.maxTokens,
			priority: this.#ctx.kind!.priority,
			cache_salt: core.cache.cacheSalt(this.#ctx.account!.id, target.weights),
			prefix: target.request.pieces,
			...(this.#relay.deliveredText !== '' && {forced_prefix: this.#relay.deliveredText}),
		};
		/* eslint-enable @typescript-eslint/naming-convention */
	}

	/** Runs the current attempt until its response ends or fails, then releases its load at the endpoint. */
	async #runAttempt(open: (options: engineClient.EngineCallOptions) => Promise<engineClient.EngineResult>): Promise<requestActions.ActionEvent> {
		const attempt = this.#attempt!;
		const weightsWatch = this.#options.recallWatcher.watch(attempt.weights);
		const signal = AbortSignal.any([this.#ctx.signal!, weightsWatch.signal]);
		this.#options.placer.recordChatDispatch(this.#target!, attempt.attemptId);
		try {
			const result = await open({
				signal,
				onSend: () => {
					this.#driver.applyEvent({type: core.request.RequestEventType.Sending});
				},
			});
			const failure = result.isLeft() ? result.extract() : await this.#readResponse(result.unsafeCoerce(), signal);
			return failure === undefined
				? {type: core.request.RequestEventType.Completed}
				: this.#handleFailure(failure, weightsWatch.signal);
		} finally {
			this.#options.placer.recordChatEnd(this.#target!, attempt.attemptId, this.#incarnation, this.#relay.usage);
			weightsWatch.close();
		}
	}

	async #readResponse(
		stream: engineClient.EngineStream,
		signal: AbortSignal,
	): Promise<attemptFailure.AttemptFailure | undefined> {
		if (!this.#relay.acceptsIncarnation(stream.incarnation)) {
			return {cause: core.request.FailureCause.EndpointGone, message: `${this.#attempt!.endpoint.id} has restarted`};
		}

		this.#incarnation = stream.incarnation;
		this.#driver.applyEvent({type: core.request.RequestEventType.ResponseStarted, incarnation: stream.incarnation});
		try {
			return await this.#relay.relay(stream, signal, () => {
				this.#options.placer.recordFirstToken(this.#attempt!.attemptId);
				this.#ctx.recordResponseStart?.();
			});
		} catch (err) {
			return {cause: core.request.FailureCause.ConnectionLost, message: `${this.#attempt!.endpoint.id}: ${String(err)}`};
		}
	}

	#handleFailure(failure: attemptFailure.AttemptFailure, recallSignal: AbortSignal): requestActions.ActionEvent {
		const abortEvent = this.#createAbortEvent();
		if (abortEvent !== undefined) {
			return abortEvent;
		}

		const cause = recallSignal.aborted ? core.request.FailureCause.WeightsRecalled : failure.cause;
		if (cause !== core.request.FailureCause.WeightsRecalled) {
			this.#excludedEndpoints.add(this.#attempt!.endpoint.id);
		}

		this.#isUnreachable = cause === core.request.FailureCause.ConnectFailed;
		this.#options.placer.recordFailure(this.#attempt!.endpoint.id, cause);
		return this.#driver.prepareFailure(cause, attemptFailure.errorCodeOfCause(cause), failure.message);
	}

	#createAbortEvent(): core.request.RequestEvent | undefined {
		return createAbortEvent.createAbortEvent(this.#ctx.signal!, this.#driver);
	}
}

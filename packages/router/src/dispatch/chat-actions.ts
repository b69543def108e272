import * as crypto from 'node:crypto';
import * as core from '@bluebellmast/core';
import type * as wire from '@bluebellmast/wire';
import * as attemptFailure from '../endpoints/attempt-failure.js';
import type * as engineAttempt from '../endpoints/engine-attempt.js';
import type * as engineClient from '../endpoints/engine-client.js';
import type * as call from '../filters/call.js';
import type * as requestContext from '../filters/request-context.js';
import type * as placer from '../placement/placer.js';
import * as ignore from '../util/ignore.js';
import * as abortReason from './abort-reason.js';
import * as chatRelay from './chat-relay.js';
import type * as recallWatch from './recall-watch.js';
import type * as requestActions from './request-actions.js';
import type * as requestDriver from './request-driver.js';

/** What chat calls work with. */
export type ChatActionsOptions = {
	readonly engines: engineClient.EngineClient;
	readonly placer: placer.Placer;
	readonly recalls: recallWatch.RecallWatch;
};

/** Carries out the life of one chat call. */
export class ChatActions implements requestActions.RequestActions {
	readonly #ctx: requestContext.RequestContext;
	readonly #call: call.ChatCall;
	readonly #driver: requestDriver.RequestDriver;
	readonly #options: ChatActionsOptions;
	readonly #relay: chatRelay.ChatRelay;
	readonly #excluded = new Set<core.model.EndpointId>();
	#target: placer.ChatTarget | undefined;
	#attempt: engineAttempt.EngineAttempt | undefined;
	#incarnation: core.model.Incarnation | undefined;

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
		options.placer.arrived(ctx);
	}

	place(): core.request.RequestEvent {
		const ended = this.#endedEvent();
		if (ended !== undefined) {
			return ended;
		}

		const placed = this.#options.placer.placeChat(this.#ctx, this.#call, this.#excluded);
		return core.util.matchEither(
			placed,
			problem => this.#driver.refusal(problem.code, problem.message, problem.retryAfterMs),
			target => this.#begin(target),
		);
	}

	async dispatch(): Promise<core.request.RequestEvent> {
		this.#driver.note({type: core.request.RequestEventType.Connecting});
		return this.#follow(async options => this.#options.engines.open(this.#attempt!, options));
	}

	async resume(): Promise<core.request.RequestEvent> {
		return this.#follow(async options =>
			this.#options.engines.resume(this.#attempt!, this.#relay.lastEventId, {...options, onSend: ignore.ignore}));
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
		if (!this.#ctx.response.callerGone) {
			this.#ctx.response.sendRefusal(refusal);
		}
	}

	#begin(target: placer.ChatTarget): core.request.RequestEvent {
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
			...(this.#relay.text !== '' && {forced_prefix: this.#relay.text}),
		};
		/* eslint-enable @typescript-eslint/naming-convention */
	}

	/** Follows one answer, from the call until its end, and frees the endpoint's slot. */
	async #follow(open: (options: engineClient.EngineCallOptions) => Promise<engineClient.EngineResult>): Promise<core.request.RequestEvent> {
		const attempt = this.#attempt!;
		const watch = this.#options.recalls.watch(attempt.weights);
		const signal = AbortSignal.any([this.#ctx.signal!, watch.signal]);
		this.#options.placer.dispatchedChat(this.#target!, attempt.attemptId);
		try {
			const result = await open({
				signal,
				onSend: () => {
					this.#driver.note({type: core.request.RequestEventType.Sending});
				},
			});
			const failure = result.isLeft() ? result.extract() : await this.#readAnswer(result.unsafeCoerce(), signal);
			return failure === undefined
				? {type: core.request.RequestEventType.Completed}
				: this.#failedEvent(failure, watch.signal);
		} finally {
			this.#options.placer.finishedChat(this.#target!, attempt.attemptId, this.#incarnation, this.#relay.usage);
			watch.close();
		}
	}

	async #readAnswer(
		stream: engineClient.EngineStream,
		signal: AbortSignal,
	): Promise<attemptFailure.AttemptFailure | undefined> {
		if (!this.#relay.acceptsIncarnation(stream.incarnation)) {
			return {cause: core.request.FailureCause.EndpointGone, message: `${this.#attempt!.endpoint.id} has restarted`};
		}

		this.#incarnation = stream.incarnation;
		this.#driver.note({type: core.request.RequestEventType.ResponseStarted, incarnation: stream.incarnation});
		try {
			return await this.#relay.relay(stream, signal, () => {
				this.#options.placer.firstToken(this.#attempt!.attemptId);
				this.#ctx.recordResponseStart?.();
			});
		} catch (err) {
			return {cause: core.request.FailureCause.ConnectionLost, message: `${this.#attempt!.endpoint.id}: ${String(err)}`};
		}
	}

	#failedEvent(failure: attemptFailure.AttemptFailure, recalled: AbortSignal): core.request.RequestEvent {
		const ended = this.#endedEvent();
		if (ended !== undefined) {
			return ended;
		}

		const cause = recalled.aborted ? core.request.FailureCause.WeightsRecalled : failure.cause;
		if (cause !== core.request.FailureCause.WeightsRecalled) {
			this.#excluded.add(this.#attempt!.endpoint.id);
		}

		this.#options.placer.reportFailure(this.#attempt!.endpoint.id, cause);
		return this.#driver.failure(cause, attemptFailure.codeOfCause(cause), failure.message);
	}

	#endedEvent(): core.request.RequestEvent | undefined {
		return abortReason.endedEvent(this.#ctx.signal!, this.#driver);
	}
}

import * as core from '@bluebellmast/core';
import * as wire from '@bluebellmast/wire';
import * as zod from 'zod';
import type * as attemptFailure from '../endpoints/attempt-failure.js';
import type * as engineClient from '../endpoints/engine-client.js';
import * as eventStream from '../endpoints/event-stream.js';
import type * as call from '../filters/call.js';
import type * as requestContext from '../filters/request-context.js';
import type * as requestDriver from './request-driver.js';

const endOfStream = '[DONE]';

/* eslint-disable @typescript-eslint/naming-convention */
const usageSchema = zod.object({
	prompt_tokens: zod.number(),
	completion_tokens: zod.number(),
	prompt_tokens_details: zod.object({cached_tokens: zod.number()}),
});
/* eslint-enable @typescript-eslint/naming-convention */

const chunkSchema = zod.object({
	choices: zod.array(zod.object({
		delta: zod.object({content: zod.string().optional()}),
		finish_reason: zod.string().nullable().optional(), // eslint-disable-line @typescript-eslint/naming-convention
	})),
	usage: usageSchema.nullish(),
});

/**
 * Assembles the response to a chat call from the streams of its attempts. Callers that stream get each event as it arrives,
 * others get one JSON response at the end.
 */
export class ChatRelay {
	readonly #ctx: requestContext.RequestContext;
	readonly #call: call.ChatCall;
	readonly #driver: requestDriver.RequestDriver;
	#stream: core.request.AssembledStream | undefined;
	#isRestarting = false;
	#finishReason = 'stop';
	#usage: wire.endpoint.CompletionUsage | undefined;

	constructor(ctx: requestContext.RequestContext, chatCall: call.ChatCall, driver: requestDriver.RequestDriver) {
		this.#ctx = ctx;
		this.#call = chatCall;
		this.#driver = driver;
	}

	/** Text delivered to the caller so far; empty for callers that don't stream and after a restart. */
	get deliveredText(): string {
		const hasDelivered = this.#call.stream && !this.#isRestarting;
		return hasDelivered ? this.#stream?.text ?? '' : '';
	}

	/** ID of the last event of the current attempt; -1 before the first event. */
	get lastEventId(): number {
		return this.#stream!.lastEventId;
	}

	/** Token counts of the current attempt; `undefined` until the engine has reported them. */
	get usage(): wire.endpoint.CompletionUsage | undefined {
		return this.#usage;
	}

	/** Starts an attempt. It continues the text that was delivered to the caller; undelivered text is discarded. */
	beginAttempt(attemptId: core.model.AttemptId): void {
		this.#usage = undefined;
		if (this.#stream === undefined || !this.#call.stream) {
			this.#stream = core.request.createStream(attemptId);
			return;
		}

		this.#stream = this.#isRestarting
			? core.request.restartStream(this.#stream, attemptId)
			: core.request.continueStream(this.#stream, attemptId);
		this.#isRestarting = false;
	}

	/** Returns whether a response from this engine incarnation can continue the stream of the current attempt. */
	acceptsIncarnation(incarnation: core.model.Incarnation): boolean {
		return core.request.matchesStream(this.#stream!, this.#stream!.attemptId, incarnation);
	}

	/** Sends the caller an event that tells it to discard the text received so far. */
	async restart(): Promise<void> {
		this.#isRestarting = true;
		await this.#ctx.response.sendEvent(this.#stream!.nextCallerEventId, '{}', 'restart');
	}

	/**
	 * Relays one response until its end. Returns the failure if the response is incomplete.
	 *
	 * @param onFirstEvent - Called when the first event arrives.
	 */
	async relay(
		stream: engineClient.EngineStream,
		signal: AbortSignal,
		onFirstEvent: () => void,
	): Promise<attemptFailure.AttemptFailure | undefined> {
		let isFirst = true;
		for await (const event of eventStream.readEventStream(stream.body)) {
			signal.throwIfAborted();
			if (isFirst) {
				isFirst = false;
				onFirstEvent();
			}

			if (event.data === endOfStream) {
				this.#endAttempt();
				return undefined;
			}

			const failure = await this.#handleEvent(event, stream.incarnation);
			if (failure !== undefined) {
				return failure;
			}
		}

		return {cause: core.request.FailureCause.ConnectionLost, message: 'the stream ended early'};
	}

	/** Ends the caller's stream, or sends the complete response to a caller that doesn't stream. */
	finish(): void {
		if (this.#call.stream) {
			this.#ctx.response.endStream();
			return;
		}

		this.#ctx.response.sendJson(200, this.#createCompletion());
	}

	#endAttempt(): void {
		this.#stream = core.request.endStream(this.#stream!);
		if (this.#call.stream) {
			this.#recordDelivery();
		}
	}

	async #handleEvent(
		event: eventStream.StreamEvent,
		incarnation: core.model.Incarnation,
	): Promise<attemptFailure.AttemptFailure | undefined> {
		const chunk = parseChunk(event.data);
		if (chunk === undefined || event.id === '') {
			return {cause: core.request.FailureCause.EndpointError, message: 'the stream holds a malformed event'};
		}

		const accepted = core.request.acceptChunk(this.#stream!, {
			attemptId: this.#stream!.attemptId,
			incarnation,
			eventId: Number(event.id),
			text: chunk.choices[0]?.delta.content ?? '',
		});
		this.#stream = accepted.stream;
		this.#usage = chunk.usage ?? this.#usage;
		this.#finishReason = chunk.choices[0]?.finish_reason ?? this.#finishReason;
		return this.#handleVerdict(accepted.verdict, event.data);
	}

	async #handleVerdict(
		verdict: core.request.ChunkVerdict,
		data: string,
	): Promise<attemptFailure.AttemptFailure | undefined> {
		if (verdict === core.request.ChunkVerdict.Duplicate) {
			return undefined;
		}

		if (verdict !== core.request.ChunkVerdict.Deliver) {
			return {cause: core.request.FailureCause.ConnectionLost, message: `the stream is out of order: ${verdict}`};
		}

		if (this.#call.stream) {
			this.#recordDelivery();
			await this.#ctx.response.sendEvent(this.#stream!.nextCallerEventId - 1, data);
		}

		return undefined;
	}

	/** Records that an event is delivered to the caller. The first one starts the caller's stream and cancels the deadline. */
	#recordDelivery(): void {
		if (!this.#ctx.response.hasStarted) {
			this.#ctx.cancelDeadline!();
			this.#ctx.response.startStream({[wire.http.HeaderName.ManifestGeneration]: String(this.#ctx.manifest.generation)});
		}

		if (this.#driver.needsDeliveredEvent) {
			this.#driver.applyEvent({type: core.request.RequestEventType.Delivered});
		}
	}

	#createCompletion(): wire.endpoint.Completion {
		/* eslint-disable @typescript-eslint/naming-convention */
		return {
			id: this.#ctx.id,
			object: 'chat.completion',
			model: this.#call.model,
			choices: [{
				index: 0,
				message: {role: 'assistant', content: this.#stream!.text},
				finish_reason: this.#finishReason,
			}],
			usage: this.#usage ?? {prompt_tokens: 0, completion_tokens: 0, prompt_tokens_details: {cached_tokens: 0}},
		};
		/* eslint-enable @typescript-eslint/naming-convention */
	}
}

function parseChunk(data: string): zod.infer<typeof chunkSchema> | undefined {
	try {
		const result = chunkSchema.safeParse(JSON.parse(data));
		return result.success ? result.data : undefined;
	} catch {
		return undefined;
	}
}

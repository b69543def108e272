/* eslint-disable @typescript-eslint/naming-convention -- Field names of the protocol. */
import type * as wire from '@bluebellmast/wire';
import * as expectedAnswer from './expected-answer.js';
import type * as prefixCache from './prefix-cache.js';

/** State of a completion task. */
export enum TaskState {
	Queued = 'queued',
	Prefill = 'prefill',
	Decode = 'decode',
	Finished = 'finished',
	Cancelled = 'cancelled',
}

/** Headers and body of a completion request. */
export type TaskRequest = {
	readonly requestId: string;
	readonly attemptId: string;
	readonly account: string;
	readonly weights: string;
	/** Arrival time in milliseconds since the Unix epoch. */
	readonly arrivedAt: number;
	readonly body: wire.endpoint.EngineCompletionRequest;
};

/** One completion: its progress and the events of its stream. */
export class EngineTask {
	state = TaskState.Queued;
	/** Prompt tokens that are not computed yet; set when the task is admitted to the batch. */
	remainingPrefillTokens = 0;
	/** Whether the prefill has started. */
	isPrefillStarted = false;
	hits: readonly prefixCache.CachedPiece[] = [];
	readonly promptTokens: number;
	readonly finishReason: string;
	readonly #tokens: readonly string[];
	readonly #firstTokenIndex: number;
	#nextTokenIndex: number;
	readonly #events: string[] = [];
	readonly #listeners = new Set<() => void>();

	constructor(readonly request: TaskRequest, readonly ordinal: number, charsPerToken: number) {
		const {body} = request;
		const answer = expectedAnswer.expectedAnswer(request.account, body.messages, body.max_tokens);
		this.#tokens = answer.tokens;
		this.finishReason = answer.finishReason;
		this.#firstTokenIndex = countCoveredTokens(answer.tokens, body.forced_prefix ?? '');
		this.#nextTokenIndex = this.#firstTokenIndex;
		const pieceTokens = body.prefix.reduce((sum, piece) => sum + piece.tokens, 0);
		const chars = body.messages.reduce((sum, message) => sum + message.content.length, 0);
		this.promptTokens = Math.max(pieceTokens, Math.ceil(chars / charsPerToken));
	}

	/** Whether the task is finished or cancelled. */
	get isEnded(): boolean {
		return this.state === TaskState.Finished || this.state === TaskState.Cancelled;
	}

	/** Data of the events so far; an event's index is its id. */
	get events(): readonly string[] {
		return this.#events;
	}

	/** Text generated so far, without the forced prefix. */
	get text(): string {
		return this.#tokens.slice(this.#firstTokenIndex, this.#nextTokenIndex).join('');
	}

	/** Token counts of the answer. */
	get usage(): wire.endpoint.CompletionUsage {
		return {
			prompt_tokens: this.promptTokens,
			completion_tokens: this.#nextTokenIndex - this.#firstTokenIndex,
			prompt_tokens_details: {cached_tokens: this.hits.reduce((sum, piece) => sum + piece.tokens, 0)},
		};
	}

	/** Generates one token; the last token finishes the task. */
	generateToken(): void {
		const token = this.#tokens[this.#nextTokenIndex];
		if (token !== undefined) {
			this.#nextTokenIndex += 1;
			this.#events.push(this.#serializeChunk({content: token}));
		}

		if (this.#nextTokenIndex === this.#tokens.length) {
			this.#events.push(this.#serializeChunk({}, this.finishReason), '[DONE]');
			this.state = TaskState.Finished;
		}

		this.#notifyListeners();
	}

	/** Cancels the task unless it has ended. */
	cancel(): void {
		if (this.isEnded) {
			return;
		}

		this.state = TaskState.Cancelled;
		this.#notifyListeners();
	}

	/** Calls `listener` at each event and at the end of the task; returns a function that removes the listener. */
	addListener(listener: () => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Number of listeners. */
	get listenerCount(): number {
		return this.#listeners.size;
	}

	#serializeChunk(delta: {readonly content?: string}, finishReason?: string): string {
		const chunk: wire.endpoint.CompletionChunk = {
			id: this.request.requestId,
			object: 'chat.completion.chunk',
			model: this.request.body.model,
			choices: [{index: 0, delta, finish_reason: finishReason ?? null}],
			...(finishReason !== undefined && {usage: this.usage}),
		};
		return JSON.stringify(chunk);
	}

	#notifyListeners(): void {
		for (const listener of this.#listeners) {
			listener();
		}
	}
}

/** Returns how many leading tokens an already delivered text covers. */
function countCoveredTokens(tokens: readonly string[], text: string): number {
	let length = 0;
	let count = 0;
	while (count < tokens.length && length + tokens[count]!.length <= text.length) {
		length += tokens[count]!.length;
		count += 1;
	}

	return count;
}

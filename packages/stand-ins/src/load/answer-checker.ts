import type * as wire from '@bluebellmast/wire';
import type * as engine from '../engine/index.js';
import * as callOutcome from './call-outcome.js';

/** Collects the events of a streamed response and compares the text with the expected answer. */
export class AnswerChecker {
	#text = '';
	#finishReason: string | undefined;
	#done = false;
	#usage: wire.endpoint.CompletionUsage | undefined;
	#refusal: callOutcome.CallOutcome | undefined;
	#tokens = 0;

	constructor(private readonly expected: engine.ExpectedAnswer) {}

	/** Number of tokens received so far. */
	get tokens(): number {
		return this.#tokens;
	}

	/** Handles one event of the stream. */
	onEvent(name: string | undefined, data: string): void {
		if (name === 'error') {
			this.#refusal = callOutcome.createRefusalOutcome(200, data);
			return;
		}

		if (name === 'restart') {
			this.#text = '';
			this.#finishReason = undefined;
			return;
		}

		if (data === '[DONE]') {
			this.#done = true;
			return;
		}

		this.#onChunk(JSON.parse(data) as wire.endpoint.CompletionChunk);
	}

	/** Returns the outcome at the end of the stream. */
	finish(): callOutcome.CallOutcome {
		if (this.#refusal) {
			const isTypedError = this.#refusal.outcome !== callOutcome.Outcome.Wrong;
			return {...this.#refusal, ...(isTypedError && this.#tokens > 0 && {outcome: callOutcome.Outcome.Interrupted})};
		}

		const problem = this.#problem();
		if (problem !== undefined) {
			return {outcome: callOutcome.Outcome.Wrong, detail: problem};
		}

		return {
			outcome: callOutcome.Outcome.Answered,
			promptTokens: this.#usage?.prompt_tokens ?? 0,
			cachedTokens: this.#usage?.prompt_tokens_details.cached_tokens ?? 0,
		};
	}

	#onChunk(chunk: wire.endpoint.CompletionChunk): void {
		const choice = chunk.choices[0];
		const content = choice?.delta.content ?? '';
		this.#text += content;
		this.#tokens += content === '' ? 0 : 1;
		this.#finishReason = choice?.finish_reason ?? this.#finishReason;
		this.#usage = chunk.usage ?? this.#usage;
	}

	#problem(): string | undefined {
		if (this.#text !== this.expected.text) {
			return describeDifference(this.expected.text, this.#text);
		}

		if (!this.#done || this.#finishReason !== this.expected.finishReason) {
			return `ended with finish reason ${this.#finishReason} and ${this.#done ? 'a' : 'no'} [DONE] event`;
		}

		return undefined;
	}
}

/** Describes where a text first differs from the expected one. */
export function describeDifference(expected: string, actual: string): string {
	if (expected.startsWith(actual)) {
		return `truncated after ${actual.length} of ${expected.length} characters`;
	}

	const index = [...actual].findIndex((char, at) => char !== expected[at]);
	return `differs at character ${index}: expected '${expected.slice(index, index + 40)}', got '${actual.slice(index, index + 40)}'`;
}

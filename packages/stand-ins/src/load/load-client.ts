import * as wire from '@bluebellmast/wire';
import * as eventsourceParser from 'eventsource-parser';
import * as undici from 'undici';
import * as engine from '../engine/index.js';
import type * as plainService from '../plain-service/index.js';
import * as answerChecker from './answer-checker.js';
import * as callOutcome from './call-outcome.js';
import type * as loadOptions from './load-options.js';

/** A chat completion request. */
export type Question = {
	readonly target: string;
	readonly account: loadOptions.LoadAccount;
	readonly messages: readonly wire.endpoint.ChatMessage[];
	readonly stream: boolean;
	/** Called for each token of a stream. */
	readonly onToken: () => void;
};

/** A booking request to a plain service. */
export type Booking = {
	readonly target: string;
	readonly account: loadOptions.LoadAccount;
	readonly service: string;
	readonly key: string;
	readonly order: string;
};

/** Milliseconds that the client waits for a response beyond the deadline that it sends. */
const responseGraceMs = 5000;

/** HTTP client that sends requests to routers and checks the responses. */
export class LoadClient {
	constructor(private readonly settings: loadOptions.LoadSettings, private readonly agent: undici.Dispatcher) {}

	/** Sends a question and checks the answer. */
	async sendQuestion(question: Question): Promise<callOutcome.CallOutcome> {
		const {messages, stream, account} = question;
		const expected = engine.expectedAnswer(account.id, messages, this.settings.maxTokens);
		const body = {
			model: this.settings.model,
			messages,
			stream,
			max_tokens: this.settings.maxTokens, // eslint-disable-line @typescript-eslint/naming-convention
		};
		try {
			const res = await this.#post(`${question.target}/v1/chat/completions`, account, body);
			if (res.statusCode !== 200) {
				return callOutcome.createRefusalOutcome(res.statusCode, await res.body.text());
			}

			return stream ? await readStream(res, expected, question.onToken) : await readCompletion(res, expected);
		} catch (err) {
			return {outcome: callOutcome.Outcome.Lost, detail: String(err)};
		}
	}

	/** Sends a booking and checks the response. */
	async sendBooking(booking: Booking): Promise<callOutcome.CallOutcome> {
		try {
			const url = `${booking.target}/v1/services/${booking.service}/bookings`;
			const headers = {[wire.http.HeaderName.IdempotencyKey]: booking.key};
			const res = await this.#post(url, booking.account, {order: booking.order}, headers);
			const text = await res.body.text();
			return res.statusCode === 200 ? checkBookingResponse(booking, text) : callOutcome.createRefusalOutcome(res.statusCode, text);
		} catch (err) {
			return {outcome: callOutcome.Outcome.Lost, detail: String(err)};
		}
	}

	async #post(
		url: string,
		account: loadOptions.LoadAccount,
		body: unknown,
		headers: Readonly<Record<string, string>> = {},
	): Promise<undici.Dispatcher.ResponseData> {
		return undici.request(url, {
			method: 'POST',
			dispatcher: this.agent,
			signal: AbortSignal.timeout(this.settings.deadlineMs + responseGraceMs),
			headers: {
				'content-type': wire.http.MediaType.Json,
				[wire.http.HeaderName.Authorization]: `Bearer ${account.key}`,
				[wire.http.HeaderName.DeadlineMs]: String(this.settings.deadlineMs),
				...headers,
			},
			body: JSON.stringify(body),
		});
	}
}

async function readStream(
	res: undici.Dispatcher.ResponseData,
	expected: engine.ExpectedAnswer,
	onToken: () => void,
): Promise<callOutcome.CallOutcome> {
	const checker = new answerChecker.AnswerChecker(expected);
	const parser = eventsourceParser.createParser({
		onEvent(event) {
			const tokensBefore = checker.tokens;
			checker.onEvent(event.event, event.data);
			if (checker.tokens > tokensBefore) {
				onToken();
			}
		},
	});
	const decoder = new TextDecoder();
	for await (const chunk of res.body) {
		parser.feed(decoder.decode(chunk as Uint8Array, {stream: true}));
	}

	return checker.finish();
}

async function readCompletion(
	res: undici.Dispatcher.ResponseData,
	expected: engine.ExpectedAnswer,
): Promise<callOutcome.CallOutcome> {
	const completion = await res.body.json() as wire.endpoint.Completion;
	const choice = completion.choices[0];
	const text = choice?.message.content ?? '';
	if (text !== expected.text) {
		return {outcome: callOutcome.Outcome.Wrong, detail: answerChecker.describeDifference(expected.text, text)};
	}

	if (choice?.finish_reason !== expected.finishReason) {
		return {outcome: callOutcome.Outcome.Wrong, detail: `ended with finish reason ${choice?.finish_reason}`};
	}

	return {
		outcome: callOutcome.Outcome.Answered,
		promptTokens: completion.usage.prompt_tokens,
		cachedTokens: completion.usage.prompt_tokens_details.cached_tokens,
	};
}

function checkBookingResponse(booking: Booking, text: string): callOutcome.CallOutcome {
	const response = JSON.parse(text) as plainService.PlainServiceResponse;
	const isExpected = response.order === booking.order && response.account === booking.account.id;
	return isExpected
		? {outcome: callOutcome.Outcome.Answered}
		: {outcome: callOutcome.Outcome.Wrong, detail: `expected order ${booking.order}, got ${text.slice(0, 200)}`};
}

import type * as stream from 'node:stream';
import * as core from '@bluebellmast/core';
import * as wire from '@bluebellmast/wire';
import * as purify from 'purify-ts';
import type * as undici from 'undici';
import * as noop from '../util/noop.js';
import type * as attemptFailure from './attempt-failure.js';
import type * as connectionPools from './connection-pools.js';
import * as endpointOrigin from './endpoint-origin.js';
import * as engineAttempt from './engine-attempt.js';
import * as progressTimer from './progress-timer.js';
import * as sendTracker from './send-tracker.js';

/** Time limits of an attempt at an engine. */
export type EngineClientOptions = {
	/** Time limit for the response headers, in milliseconds. */
	readonly firstByteTimeoutMs: number;
	/** Maximum time between two chunks of the response body, in milliseconds. */
	readonly progressTimeoutMs: number;
};

/** Response of an engine whose headers have arrived; the body is streamed. */
export type EngineStream = {
	readonly incarnation: core.model.Incarnation;
	readonly body: AsyncIterable<Uint8Array>;
};

/** The response stream, or why there is none. */
export type EngineResult = purify.Either<attemptFailure.AttemptFailure, EngineStream>;

/** Options of one call. */
export type EngineCallOptions = {
	/** Aborts the call. */
	readonly signal: AbortSignal;
	/** Called once, before the first byte is written to a connected socket. */
	readonly onSend: () => void;
};

/** HTTP client of engines. */
export class EngineClient {
	readonly #pools: connectionPools.ConnectionPools;
	readonly #options: EngineClientOptions;

	constructor(pools: connectionPools.ConnectionPools, options: EngineClientOptions) {
		this.#pools = pools;
		this.#options = options;
	}

	/** Starts a streamed completion. */
	async open(attempt: engineAttempt.EngineAttempt, call: EngineCallOptions): Promise<EngineResult> {
		const headers = {...engineAttempt.createAttemptHeaders(attempt), 'content-type': wire.http.MediaType.Json};
		return this.#send(attempt, this.#pools.keepAlive(), {
			path: '/v1/chat/completions', method: 'POST', headers, body: JSON.stringify(attempt.body),
		}, call);
	}

	/** Continues a stream of the same engine incarnation after an event, over a new connection. */
	async resume(
		attempt: engineAttempt.EngineAttempt,
		lastEventId: number,
		call: EngineCallOptions,
	): Promise<EngineResult> {
		const headers = {
			...engineAttempt.createAttemptHeaders(attempt),
			[wire.http.HeaderName.LastEventId]: String(lastEventId),
		};
		return this.#send(attempt, this.#pools.singleUse(), {
			path: `/v1/streams/${attempt.attemptId}`, method: 'GET', headers,
		}, call);
	}

	/** Asks an engine to cancel a stream. Failures are ignored, because the engine also ends a stream when its client disconnects. */
	async cancel(attempt: engineAttempt.EngineAttempt): Promise<void> {
		try {
			const res = await this.#pools.singleUse().request({
				origin: endpointOrigin.endpointOrigin(attempt.endpoint),
				path: `/v1/streams/${attempt.attemptId}`,
				method: 'DELETE',
				signal: AbortSignal.timeout(this.#options.progressTimeoutMs),
			});
			await res.body.dump();
		} catch {
			// The engine is unreachable or does not respond; there is nothing more to do.
		}
	}

	async #send(
		attempt: engineAttempt.EngineAttempt,
		dispatcher: undici.Dispatcher,
		options: Omit<undici.Dispatcher.RequestOptions, 'origin'>,
		call: EngineCallOptions,
	): Promise<EngineResult> {
		const tracker = new sendTracker.SendTracker(call.onSend);
		const timer = new progressTimer.ProgressTimer(this.#options.firstByteTimeoutMs, this.#options.progressTimeoutMs);
		try {
			const res = await tracker.track(dispatcher).request({
				...options,
				origin: endpointOrigin.endpointOrigin(attempt.endpoint),
				signal: AbortSignal.any([call.signal, timer.signal]),
			});
			timer.restart();
			return readHead(attempt, res, timer);
		} catch (err) {
			timer.stop();
			const cause = tracker.hasStartedSending
				? core.request.FailureCause.ConnectionLost
				: core.request.FailureCause.ConnectFailed;
			return purify.Left({cause, message: `${attempt.endpoint.id}: ${String(err)}`});
		}
	}
}

function readHead(
	attempt: engineAttempt.EngineAttempt,
	res: undici.Dispatcher.ResponseData,
	timer: progressTimer.ProgressTimer,
): EngineResult {
	const failure = engineAttempt.checkResponseHead(attempt, res);
	if (failure !== undefined) {
		timer.stop();
		res.body.on('error', noop.noop).destroy();
		return purify.Left(failure);
	}

	return purify.Right({
		incarnation: engineAttempt.readHeader(res, wire.http.HeaderName.EngineIncarnation),
		body: trackProgress(res.body, timer),
	});
}

/** Yields the chunks and restarts the timer after each; the time that the consumer takes for a chunk doesn't count. */
async function * trackProgress(
	body: stream.Readable,
	timer: progressTimer.ProgressTimer,
): AsyncGenerator<Uint8Array, void, undefined> {
	try {
		for await (const chunk of body) {
			timer.stop();
			yield chunk as Uint8Array;
			timer.restart();
		}
	} finally {
		timer.stop();
		body.destroy();
	}
}

import * as buffer from 'node:buffer';
import * as core from '@bluebellmast/core';
import * as wire from '@bluebellmast/wire';
import * as purify from 'purify-ts';
import type * as undici from 'undici';
import type * as responseWriter from '../http/response-writer.js';
import * as noop from '../util/noop.js';
import type * as attemptFailure from './attempt-failure.js';
import type * as connectionPools from './connection-pools.js';
import * as endpointOrigin from './endpoint-origin.js';
import * as sendTracker from './send-tracker.js';

/** Options of `ServiceClient`. */
export type ServiceClientOptions = {
	/** Maximum size of a response body, in bytes. Default 16 MiB. */
	readonly maxResponseBytes?: number;
};

/** One attempt at an endpoint of a plain service. */
export type ServiceAttempt = {
	readonly endpoint: core.model.Endpoint;
	readonly requestId: core.model.RequestId;
	readonly attemptId: core.model.AttemptId;
	readonly account: core.model.AccountId;
	readonly method: string;
	/** Path and query below the service's path. */
	readonly path: string;
	readonly contentType: string;
	readonly body: Uint8Array;
	readonly idempotencyKey?: string;
	/** Whether the call may be executed more than once. */
	readonly repeatable: boolean;
};

/** Options of one call. */
export type ServiceCallOptions = {
	readonly signal: AbortSignal;
	/** Called once, before the first byte is written to a connected socket. */
	readonly onSend: () => void;
	/** Called when the response headers have arrived and the response is usable. */
	readonly onResponseStart: () => void;
};

const defaultMaxResponseBytes = 16 * 1024 * 1024;

/** Statuses on which a call that may be executed more than once is retried at another endpoint. */
const busyStatuses: ReadonlySet<number> = new Set([429, 503]);

/** HTTP client of plain services. */
export class ServiceClient {
	readonly #pools: connectionPools.ConnectionPools;
	readonly #maxResponseBytes: number;

	constructor(pools: connectionPools.ConnectionPools, options: ServiceClientOptions = {}) {
		this.#pools = pools;
		this.#maxResponseBytes = options.maxResponseBytes ?? defaultMaxResponseBytes;
	}

	/** Sends one call and reads the complete response. */
	async call(
		attempt: ServiceAttempt,
		call: ServiceCallOptions,
	): Promise<purify.Either<attemptFailure.AttemptFailure, responseWriter.BufferedResponse>> {
		const tracker = new sendTracker.SendTracker(call.onSend);
		const pool = attempt.repeatable ? this.#pools.keepAlive() : this.#pools.singleUse();
		try {
			const res = await tracker.track(pool).request({
				origin: endpointOrigin.endpointOrigin(attempt.endpoint),
				path: attempt.path,
				method: attempt.method,
				headers: createHeaders(attempt),
				body: attempt.body.length > 0 ? attempt.body : undefined,
				signal: call.signal,
			});
			const failure = checkResponseHead(attempt, res);
			if (failure !== undefined) {
				res.body.on('error', noop.noop).destroy();
				return purify.Left(failure);
			}

			call.onResponseStart();
			return purify.Right(await this.#readBody(res));
		} catch (err) {
			const cause = tracker.hasStartedSending
				? core.request.FailureCause.ConnectionLost
				: core.request.FailureCause.ConnectFailed;
			return purify.Left({cause, message: `${attempt.endpoint.id}: ${String(err)}`});
		}
	}

	async #readBody(res: undici.Dispatcher.ResponseData): Promise<responseWriter.BufferedResponse> {
		const chunks: Uint8Array[] = [];
		let size = 0;
		for await (const chunk of res.body) {
			chunks.push(chunk as Uint8Array);
			size += (chunk as Uint8Array).length;
			if (size > this.#maxResponseBytes) {
				throw new Error(`the answer exceeds ${this.#maxResponseBytes} bytes`);
			}
		}

		const type = res.headers['content-type'];
		return {
			status: res.statusCode,
			contentType: typeof type === 'string' ? type : 'application/octet-stream',
			body: buffer.Buffer.concat(chunks),
		};
	}
}

function createHeaders(attempt: ServiceAttempt): Record<string, string> {
	return {
		[wire.http.HeaderName.RequestId]: attempt.requestId,
		[wire.http.HeaderName.AttemptId]: attempt.attemptId,
		[wire.http.HeaderName.Account]: attempt.account,
		...(attempt.contentType !== '' && {'content-type': attempt.contentType}),
		...(attempt.idempotencyKey !== undefined && {[wire.http.HeaderName.IdempotencyKey]: attempt.idempotencyKey}),
	};
}

function checkResponseHead(
	attempt: ServiceAttempt,
	res: undici.Dispatcher.ResponseData,
): attemptFailure.AttemptFailure | undefined {
	const message = `${attempt.endpoint.id} answered ${res.statusCode}`;
	if (res.headers[wire.http.HeaderName.Execution] === core.model.ExecutionState.NotRun) {
		return {cause: core.request.FailureCause.Refused, message};
	}

	// The status alone does not prove that the call was not executed, so only idempotent calls are retried.
	if (attempt.repeatable && busyStatuses.has(res.statusCode)) {
		return {cause: core.request.FailureCause.EndpointError, message};
	}

	// A response with a request ID must have the ID of this request. A response without one is accepted.
	const responseRequestId = res.headers[wire.http.HeaderName.RequestId];
	return responseRequestId === undefined || responseRequestId === attempt.requestId
		? undefined
		: {cause: core.request.FailureCause.MismatchedResponse, message: `${attempt.endpoint.id} answered for another request`};
}

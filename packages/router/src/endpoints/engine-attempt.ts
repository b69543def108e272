import * as core from '@bluebellmast/core';
import * as wire from '@bluebellmast/wire';
import type * as undici from 'undici';
import type * as attemptFailure from './attempt-failure.js';

/** One attempt at an engine. */
export type EngineAttempt = {
	readonly endpoint: core.model.Endpoint;
	readonly requestId: core.model.RequestId;
	readonly attemptId: core.model.AttemptId;
	readonly account: core.model.AccountId;
	readonly weights: core.model.Weights;
	readonly body: wire.endpoint.EngineCompletionRequest;
};

/** Returns the headers that identify an attempt to an engine. */
export function createAttemptHeaders(attempt: EngineAttempt): Record<string, string> {
	return {
		[wire.http.HeaderName.RequestId]: attempt.requestId,
		[wire.http.HeaderName.AttemptId]: attempt.attemptId,
		[wire.http.HeaderName.Account]: attempt.account,
		[wire.http.HeaderName.Weights]: core.model.formatWeights(attempt.weights),
	};
}

/** Returns a response header, or an empty string if it is absent or repeated. */
export function readHeader(res: undici.Dispatcher.ResponseData, name: wire.http.HeaderName): string {
	const value = res.headers[name];
	return typeof value === 'string' ? value : '';
}

/** Status of an engine that refuses a request before executing it because the weights are not loaded. */
const weightsNotLoadedStatus = 409;

const endpointGoneStatuses: ReadonlySet<number> = new Set([404, 410]);

/**
 * Returns why a response cannot be used: its status is an error, or its headers belong to another attempt or other weights.
 * Returns `undefined` for a usable response.
 */
export function checkResponseHead(
	attempt: EngineAttempt,
	res: undici.Dispatcher.ResponseData,
): attemptFailure.AttemptFailure | undefined {
	if (res.statusCode !== 200) {
		return {cause: causeOfResponse(res), message: `${attempt.endpoint.id} answered ${res.statusCode}`};
	}

	const matches = readHeader(res, wire.http.HeaderName.RequestId) === attempt.requestId
		&& readHeader(res, wire.http.HeaderName.AttemptId) === attempt.attemptId
		&& readHeader(res, wire.http.HeaderName.Weights) === core.model.formatWeights(attempt.weights)
		&& readHeader(res, wire.http.HeaderName.EngineIncarnation) !== '';
	return matches
		? undefined
		: {cause: core.request.FailureCause.MismatchedResponse, message: `${attempt.endpoint.id} answered for another request or weights`};
}

function causeOfResponse(res: undici.Dispatcher.ResponseData): core.request.FailureCause {
	const notRun: string = core.model.ExecutionState.NotRun;
	const isNotRun = readHeader(res, wire.http.HeaderName.Execution) === notRun;
	if (isNotRun || res.statusCode === weightsNotLoadedStatus) {
		return core.request.FailureCause.Refused;
	}

	return endpointGoneStatuses.has(res.statusCode)
		? core.request.FailureCause.EndpointGone
		: core.request.FailureCause.EndpointError;
}

import * as core from '@bluebellmast/core';
import * as wire from '@bluebellmast/wire';
import type * as undici from 'undici';
import type * as attemptFailure from './attempt-failure.js';

/** One try at an engine. */
export type EngineAttempt = {
	readonly endpoint: core.model.Endpoint;
	readonly requestId: core.model.RequestId;
	readonly attemptId: core.model.AttemptId;
	readonly account: core.model.AccountId;
	readonly weights: core.model.Weights;
	readonly body: wire.endpoint.EngineCompletionRequest;
};

/** Returns the headers that name a try to an engine. */
export function createAttemptHeaders(attempt: EngineAttempt): Record<string, string> {
	return {
		[wire.http.HeaderName.RequestId]: attempt.requestId,
		[wire.http.HeaderName.AttemptId]: attempt.attemptId,
		[wire.http.HeaderName.Account]: attempt.account,
		[wire.http.HeaderName.Weights]: core.model.formatWeights(attempt.weights),
	};
}

/** Returns one header of an answer; empty when it is absent. */
export function readHeader(res: undici.Dispatcher.ResponseData, name: wire.http.HeaderName): string {
	const value = res.headers[name];
	return typeof value === 'string' ? value : '';
}

/** Status with which an engine refuses before it begins, because it does not hold the weights. */
const weightsNotLoadedStatus = 409;

const endpointGoneStatuses: ReadonlySet<number> = new Set([404, 410]);

/** Returns why an answer cannot be used: refused, failed, or not the answer to this try on these weights. */
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

import * as crypto from 'node:crypto';
import * as core from '@bluebellmast/core';
import * as attemptFailure from '../endpoints/attempt-failure.js';
import type * as serviceClient from '../endpoints/service-client.js';
import type * as call from '../filters/call.js';
import type * as requestContext from '../filters/request-context.js';
import type * as responseWriter from '../http/response-writer.js';
import type * as placer from '../placement/placer.js';
import * as createAbortEvent from './create-abort-event.js';
import type * as requestActions from './request-actions.js';
import type * as requestDriver from './request-driver.js';

/** Dependencies of `ServiceActions`. */
export type ServiceActionsOptions = {
	readonly services: serviceClient.ServiceClient;
	readonly placer: placer.Placer;
};

/** Processes one call of a plain service: places its attempts, sends them and passes the response on. */
export class ServiceActions implements requestActions.RequestActions {
	readonly #ctx: requestContext.RequestContext;
	readonly #call: call.ServiceCall;
	readonly #driver: requestDriver.RequestDriver;
	readonly #options: ServiceActionsOptions;
	readonly #excludedEndpoints = new Set<core.model.EndpointId>();
	#attempt: serviceClient.ServiceAttempt | undefined;
	#response: responseWriter.BufferedResponse | undefined;

	constructor(
		ctx: requestContext.RequestContext,
		serviceCall: call.ServiceCall,
		driver: requestDriver.RequestDriver,
		options: ServiceActionsOptions,
	) {
		this.#ctx = ctx;
		this.#call = serviceCall;
		this.#driver = driver;
		this.#options = options;
	}

	/** The complete response of the service; `undefined` before it has arrived. */
	get response(): responseWriter.BufferedResponse | undefined {
		return this.#response;
	}

	place(): requestActions.ActionEvent {
		const abortEvent = this.#createAbortEvent();
		if (abortEvent !== undefined) {
			return abortEvent;
		}

		const placement = this.#options.placer.placeService(this.#ctx, this.#call, this.#excludedEndpoints);
		return core.util.matchEither(
			placement,
			error => this.#driver.prepareRefusal(error.code, error.message, error.retryAfterMs),
			endpoint => this.#beginAttempt(endpoint),
		);
	}

	async dispatch(): Promise<requestActions.ActionEvent> {
		this.#driver.applyEvent({type: core.request.RequestEventType.Connecting});
		this.#options.placer.recordServiceDispatch(this.#attempt!.endpoint.id, this.#attempt!.attemptId);
		try {
			const result = await this.#options.services.call(this.#attempt!, {
				signal: this.#ctx.signal!,
				onSend: () => {
					this.#driver.applyEvent({type: core.request.RequestEventType.Sending});
				},
				onResponseStart: () => {
					this.#driver.applyEvent({type: core.request.RequestEventType.ResponseStarted, incarnation: this.#attempt!.attemptId});
				},
			});
			return core.util.matchEither(
				result,
				failure => this.#handleFailure(failure),
				response => this.#createCompletedEvent(response),
			);
		} finally {
			this.#options.placer.recordServiceEnd(this.#attempt!.attemptId);
		}
	}

	async resume(): Promise<requestActions.ActionEvent> {
		throw new core.util.InvariantError('service.no-resume', `request ${this.#ctx.id}`);
	}

	async restart(): Promise<void> {
		throw new core.util.InvariantError('service.no-restart', `request ${this.#ctx.id}`);
	}

	cancel(): void {
		// Plain services offer no cancellation; the connection was closed already.
	}

	finish(): void {
		if (!this.#ctx.response.isCallerDisconnected) {
			this.#ctx.response.sendBuffered(this.#response!);
		}
	}

	refuse(refusal: core.model.Refusal): void {
		if (!this.#ctx.response.isCallerDisconnected) {
			this.#ctx.response.sendRefusal(refusal);
		}
	}

	#beginAttempt(endpoint: core.model.Endpoint): core.request.RequestEvent {
		const attemptId = crypto.randomUUID();
		const {idempotencyKey} = this.#ctx.headers;
		this.#attempt = {
			endpoint,
			requestId: this.#ctx.id,
			attemptId,
			account: this.#ctx.account!.id,
			method: this.#call.method,
			path: this.#call.path,
			contentType: this.#call.contentType,
			body: this.#call.body,
			...(idempotencyKey !== undefined && {idempotencyKey}),
			repeatable: this.#ctx.kind!.repeatable,
		};
		return {type: core.request.RequestEventType.Placed, attemptId, endpoint: endpoint.id};
	}

	#createCompletedEvent(response: responseWriter.BufferedResponse): core.request.RequestEvent {
		this.#response = response;
		return {type: core.request.RequestEventType.Completed};
	}

	#handleFailure(failure: attemptFailure.AttemptFailure): requestActions.ActionEvent {
		const abortEvent = this.#createAbortEvent();
		if (abortEvent !== undefined) {
			return abortEvent;
		}

		this.#excludedEndpoints.add(this.#attempt!.endpoint.id);
		this.#options.placer.recordFailure(this.#attempt!.endpoint.id, failure.cause);
		return this.#driver.prepareFailure(failure.cause, attemptFailure.errorCodeOfCause(failure.cause), failure.message);
	}

	#createAbortEvent(): core.request.RequestEvent | undefined {
		return createAbortEvent.createAbortEvent(this.#ctx.signal!, this.#driver);
	}
}

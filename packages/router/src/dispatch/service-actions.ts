import * as crypto from 'node:crypto';
import * as core from '@bluebellmast/core';
import * as attemptFailure from '../endpoints/attempt-failure.js';
import type * as serviceClient from '../endpoints/service-client.js';
import type * as call from '../filters/call.js';
import type * as requestContext from '../filters/request-context.js';
import type * as answerModule from '../http/answer.js';
import type * as placer from '../placement/placer.js';
import * as abortReason from './abort-reason.js';
import type * as requestActions from './request-actions.js';
import type * as requestDriver from './request-driver.js';

/** What calls of plain services work with. */
export type ServiceActionsOptions = {
	readonly services: serviceClient.ServiceClient;
	readonly placer: placer.Placer;
};

/** Carries out the life of one call of a plain service. */
export class ServiceActions implements requestActions.RequestActions {
	readonly #ctx: requestContext.RequestContext;
	readonly #call: call.ServiceCall;
	readonly #driver: requestDriver.RequestDriver;
	readonly #options: ServiceActionsOptions;
	readonly #excluded = new Set<core.model.EndpointId>();
	#attempt: serviceClient.ServiceAttempt | undefined;
	#answer: answerModule.WholeAnswer | undefined;

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

	/** The service's whole answer, once there is one. */
	get answer(): answerModule.WholeAnswer | undefined {
		return this.#answer;
	}

	place(): core.request.RequestEvent {
		const ended = this.#endedEvent();
		if (ended !== undefined) {
			return ended;
		}

		const placed = this.#options.placer.placeService(this.#ctx, this.#call, this.#excluded);
		return core.util.matchEither(
			placed,
			problem => this.#driver.refusal(problem.code, problem.message, problem.retryAfterMs),
			endpoint => this.#begin(endpoint),
		);
	}

	async dispatch(): Promise<core.request.RequestEvent> {
		this.#driver.note({type: core.request.RequestEventType.Connecting});
		this.#options.placer.dispatchedService(this.#attempt!.endpoint.id, this.#attempt!.attemptId);
		try {
			const result = await this.#options.services.call(this.#attempt!, {
				signal: this.#ctx.signal!,
				onSend: () => {
					this.#driver.note({type: core.request.RequestEventType.Sending});
				},
				onAnswer: () => {
					this.#driver.note({type: core.request.RequestEventType.ResponseStarted, incarnation: this.#attempt!.attemptId});
				},
			});
			return core.util.matchEither(
				result,
				failure => this.#failedEvent(failure),
				answer => this.#completedEvent(answer),
			);
		} finally {
			this.#options.placer.finishedService(this.#attempt!.attemptId);
		}
	}

	async resume(): Promise<core.request.RequestEvent> {
		throw new core.util.InvariantError('service.no-resume', `request ${this.#ctx.id}`);
	}

	async restart(): Promise<void> {
		throw new core.util.InvariantError('service.no-restart', `request ${this.#ctx.id}`);
	}

	cancel(): void {
		// A plain service has no way to cancel; the connection was closed.
	}

	finish(): void {
		if (!this.#ctx.response.callerGone) {
			this.#ctx.response.sendWhole(this.#answer!);
		}
	}

	refuse(refusal: core.model.Refusal): void {
		if (!this.#ctx.response.callerGone) {
			this.#ctx.response.sendRefusal(refusal);
		}
	}

	#begin(endpoint: core.model.Endpoint): core.request.RequestEvent {
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

	#completedEvent(answer: answerModule.WholeAnswer): core.request.RequestEvent {
		this.#answer = answer;
		return {type: core.request.RequestEventType.Completed};
	}

	#failedEvent(failure: attemptFailure.AttemptFailure): core.request.RequestEvent {
		const ended = this.#endedEvent();
		if (ended !== undefined) {
			return ended;
		}

		this.#excluded.add(this.#attempt!.endpoint.id);
		this.#options.placer.reportFailure(this.#attempt!.endpoint.id, failure.cause);
		return this.#driver.failure(failure.cause, attemptFailure.codeOfCause(failure.cause), failure.message);
	}

	#endedEvent(): core.request.RequestEvent | undefined {
		return abortReason.endedEvent(this.#ctx.signal!, this.#driver);
	}
}

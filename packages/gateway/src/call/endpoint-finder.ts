import * as core from '@bluebellmast/core';
import type * as endpointPlacer from '../placement/endpoint-placer.js';
import * as clocks from '../util/clocks.js';
import * as eventLog from '../util/event-log.js';
import type * as requestContext from './request-context.js';
import type * as requestDispatcher from './request-dispatcher.js';
import * as refusals from './refusal.js';
import * as requestQueue from './request-queue.js';

/** Wait after which the estimate is considered wrong, as a multiple of the expected wait, and its minimum in milliseconds. */
const maxWaitFactor = 2;
const minWaitMs = 1000;
/** A deadline below this part of the timeout of the route indicates a retry by the caller after a refusal. */
const retryTimeShare = 0.95;
/** Time that must remain for the response itself after a wait, in milliseconds. */
const minResponseTimeMs = 500;

/** Result of a search: an endpoint with capacity, or the time after which the caller should retry. */
export type EndpointSearchResult =
	| {readonly placement: endpointPlacer.Placement}
	| {readonly placement: undefined; readonly retryAfterMs: number; readonly inputs: core.log.RefusalInputs};

type WaitResult = {
	readonly outcome: requestQueue.WaitOutcome;
	/** Present if an endpoint has capacity. */
	readonly placement: endpointPlacer.Placement | undefined;
};

/** Finds an endpoint with capacity for one request, and waits for one if there is none. */
export class EndpointFinder {
	#cancel: (() => void) | undefined;

	/** @param place - Chooses the best endpoint at the time of the call. */
	constructor(
		private readonly request: requestContext.RoutedRequest,
		private readonly dependencies: requestDispatcher.DispatcherDependencies,
		private readonly deadlineAt: number,
		private readonly place: () => endpointPlacer.Placement | undefined,
	) {}

	/** Cancels the wait, if there is one. */
	cancel(): void {
		this.#cancel?.();
	}

	/** Finds an endpoint of a pool; waits for capacity if the expected wait allows it. */
	async find(pool: core.routing.PoolName): Promise<EndpointSearchResult> {
		const now = this.dependencies.clock.monotonicNow();
		const candidate = this.place();
		if (candidate === undefined) {
			return this.#refuse(pool);
		}

		if (candidate.hasCapacity) {
			return {placement: candidate};
		}

		const request = this.#createWaitingRequest(candidate);
		const {mayWait, expectedMs} = this.dependencies.placer.decideWait(pool, {
			queuedTokens: this.dependencies.queue.countTokensAhead(request),
			timeLeftMs: this.deadlineAt - now,
			isRetry: this.#isRetry(),
		});
		// Random jitter prevents callers from retrying all at the same time.
		const retryAfterMs = Math.max(refusals.noEndpointRetryAfterMs, expectedMs * (1 + this.dependencies.random()));
		const inputs: core.log.RefusalInputs = {
			expectedWaitMs: Math.round(expectedMs), backlogMs: Math.round(candidate.choice.backlogMs), prefill: candidate.choice.prefillTokens,
		};
		if (!mayWait) {
			return {placement: undefined, retryAfterMs, inputs};
		}

		this.dependencies.log.write(eventLog.LogEvent.RequestWaiting, {request: this.request.head.requestId, ...inputs});
		const maxWaitMs = Math.max(maxWaitFactor * expectedMs, minWaitMs);
		const {outcome, placement} = await this.#wait(request, Math.min(this.deadlineAt - minResponseTimeMs, now + maxWaitMs));
		if (placement !== undefined) {
			return {placement};
		}

		return outcome === requestQueue.WaitOutcome.NoEndpoint ? this.#refuse(pool) : {placement: undefined, retryAfterMs, inputs};
	}

	/**
	 * Returns the time after which a caller should retry that no endpoint can serve now, in milliseconds: when the first endpoint is back if all that
	 * could serve the request asked for a pause.
	 */
	computeRetryAfterMs(pool: core.routing.PoolName): number {
		const first = this.place() === undefined
			? this.dependencies.placer.findFirstRampUp(this.request, pool, clocks.readInstant(this.dependencies.clock))
			: undefined;
		return first === undefined
			? refusals.noEndpointRetryAfterMs
			: core.fleet.computePauseRetryAfterMs(first, this.dependencies.random());
	}

	#refuse(pool: core.routing.PoolName): EndpointSearchResult {
		const inputs = this.dependencies.placer.describePool(this.request, pool, clocks.readInstant(this.dependencies.clock));
		const areAllLeaving = inputs.responsive !== 0 && inputs.leaving === inputs.responsive;
		const retryAfterMs = areAllLeaving
			? refusals.allLeavingRetryAfterMs * (1 + this.dependencies.random())
			: this.computeRetryAfterMs(pool);
		return {placement: undefined, retryAfterMs, inputs};
	}

	async #wait(request: core.fleet.WaitingRequest, expiresAt: number): Promise<WaitResult> {
		let found: endpointPlacer.Placement | undefined;
		const {ended, cancel} = this.dependencies.queue.wait({
			...request,
			expiresAt,
			hasCapacity: () => {
				found = this.place();
				return found?.hasCapacity;
			},
		});
		this.#cancel = cancel;
		const outcome = await ended;
		this.#cancel = undefined;
		return {outcome, placement: outcome === requestQueue.WaitOutcome.CapacityAvailable ? found : undefined};
	}

	#createWaitingRequest(placement: endpointPlacer.Placement): core.fleet.WaitingRequest {
		return {
			priority: placement.enginePriority ?? 0,
			targetLatencyMs: this.request.route.targetLatencyMs,
			arrivedAt: this.request.arrivedAt,
			deadlineAt: this.deadlineAt,
			prefillTokens: placement.choice.prefillTokens,
		};
	}

	/** Whether the deadline is so much shorter than the timeout of the route that an earlier attempt was probably refused. */
	#isRetry(): boolean {
		const {head, route} = this.request;
		return (head.deadlineMs ?? Infinity) < route.timeoutMs * retryTimeShare;
	}
}

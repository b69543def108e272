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

/** An endpoint with capacity. */
export type FoundEndpoint = {
	readonly placement: endpointPlacer.Placement;
	/** Number of requests that this VM had sent when the endpoint was found. */
	readonly sentCount: number;
};

/** Result of a search: an endpoint with capacity, or the time after which the caller should retry. */
export type EndpointSearchResult =
	| FoundEndpoint
	| {readonly placement: undefined; readonly retryAfterMs: number; readonly inputs: core.log.RefusalInputs};

type WaitResult = {
	readonly outcome: requestQueue.WaitOutcome;
	/** Present if an endpoint has capacity. */
	readonly found: FoundEndpoint | undefined;
};

/** Finds an endpoint with capacity for one request, and waits for one if there is none. */
export class EndpointFinder {
	#cancel: (() => void) | undefined;
	/** Endpoints at which an attempt of the request has failed. */
	readonly #failed = new Set<string>();

	constructor(
		private readonly request: requestContext.RoutedRequest,
		private readonly dependencies: requestDispatcher.ForwarderDependencies,
		private readonly deadlineAt: number,
		private readonly pool: core.routing.PoolName,
	) {}

	/** Cancels the wait, if there is one. */
	cancel(): void {
		this.#cancel?.();
	}

	/** Records that an attempt failed at an endpoint. */
	recordFailure(endpoint: string): void {
		this.#failed.add(endpoint);
	}

	/**
	 * Chooses the best endpoint at the time of the call.
	 *
	 * @param active - Endpoints of attempts in progress, which are not chosen.
	 * @param mayRepeat - Whether an endpoint at which the request failed is chosen if there is no other.
	 */
	place(active: readonly string[] = [], mayRepeat = true): endpointPlacer.Placement | undefined {
		const {placer, clock} = this.dependencies;
		const now = clocks.readInstant(clock);
		const placement = placer.place(this.request, this.pool, new Set([...this.#failed, ...active]), now);
		return placement ?? (mayRepeat && this.#failed.size > 0 ? placer.place(this.request, this.pool, new Set(active), now) : undefined);
	}

	/**
	 * Finds an endpoint with capacity for a replacement, and sends the request there. There is no search if one has just found nothing for any
	 * request that excludes the same endpoints.
	 *
	 * @param active - As for {@link EndpointFinder.place}, as `mayRepeat`.
	 * @param send - Sends the request; returns `undefined` if no connection to the endpoint is free.
	 * @returns What `send` returned, or `undefined` if there is no endpoint.
	 */
	findReplacement<Sent>(active: readonly string[], mayRepeat: boolean, send: (placement: endpointPlacer.Placement) => Sent | undefined): Sent | undefined {
		const {placer, clock, failedSearches} = this.dependencies;
		const now = clocks.readInstant(clock);
		const excluded = mayRepeat ? active : [...this.#failed, ...active];
		const {head, route, table: {config: {version}}} = this.request;
		const key = JSON.stringify([version, this.pool, head.prompt?.model, route.targetLatencyMs, mayRepeat, [...this.#failed].sort(), active.toSorted()]);
		if (failedSearches.has(key, now.monotonic)) {
			return undefined;
		}

		const placement = this.place(active, mayRepeat);
		const sent = placement?.hasCapacity ? send(placement) : undefined;
		// Requests without a prompt all find the same endpoint; it may have no free connection.
		const isForAll = sent === undefined && (head.prompt === undefined || !placer.mayHaveCapacity(this.request, this.pool, new Set(excluded), now));
		if (isForAll) {
			failedSearches.add(key, now.monotonic);
		}

		return sent;
	}

	/** Returns the placement that was found, or another one if requests that were sent since may have used its capacity; `undefined` if none is left. */
	confirm({placement, sentCount}: FoundEndpoint): endpointPlacer.Placement | undefined {
		if (sentCount === this.dependencies.fleet.loads.sentCount) {
			return placement;
		}

		const current = this.place();
		return current?.hasCapacity ? current : undefined;
	}

	/**
	 * Finds an endpoint; waits for capacity if the expected wait allows it.
	 *
	 * @param hasBegun - Whether a response has begun, which would be cut. Then any wait up to the deadline is allowed, also for an endpoint that is
	 * silent or paused.
	 */
	async find(hasBegun: boolean): Promise<EndpointSearchResult> {
		const now = this.dependencies.clock.monotonicNow();
		const candidate = this.place();
		if (candidate === undefined && !(hasBegun && this.#mayReturn())) {
			return this.#refuse();
		}

		if (candidate?.hasCapacity) {
			return {placement: candidate, sentCount: this.dependencies.fleet.loads.sentCount};
		}

		const request = this.#createWaitingRequest(candidate);
		return candidate === undefined || hasBegun
			? this.#awaitWhileBegun(request)
			: this.#awaitCapacity(request, candidate, now);
	}

	/**
	 * Returns the time after which a caller should retry that no endpoint can serve now, in milliseconds: when the first endpoint is back if all that
	 * could serve the request asked for a pause, when another VM may send it if they limit their requests.
	 */
	computeRetryAfterMs(): number {
		if (this.place() !== undefined) {
			return refusals.noEndpointRetryAfterMs;
		}

		const {placer, clock, random} = this.dependencies;
		const now = clocks.readInstant(clock);
		const first = placer.findFirstRampUp(this.request, this.pool, now);
		if (first !== undefined) {
			return core.fleet.computePauseRetryAfterMs(first, random());
		}

		const permitIntervalMs = placer.findPermitInterval(this.request, this.pool, now) ?? 0;
		return Math.max(refusals.noEndpointRetryAfterMs, permitIntervalMs * (1 + random()));
	}

	/** Waits for capacity if the expected wait allows it. */
	async #awaitCapacity(request: core.fleet.WaitingRequest, candidate: endpointPlacer.Placement, now: number): Promise<EndpointSearchResult> {
		const {placer, queue, clock} = this.dependencies;
		const permitWaitMs = placer.findPermitWait(this.request, this.pool, queue.countAhead(request, this.pool), clocks.readInstant(clock)) ?? 0;
		const {mayWait, expectedMs} = placer.decideWait(this.pool, {
			queuedTokens: queue.countTokensAhead(request),
			timeLeftMs: this.deadlineAt - now,
			permitWaitMs,
			targetLatencyMs: this.request.route.targetLatencyMs,
			isRetry: this.#isRetry(),
		}, clocks.readInstant(clock));
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
		// An endpoint that is only silent may go on before the wait expires.
		const latestSendAt = this.dependencies.gracefulShutdown.latestSendAt(this.request.route, this.deadlineAt);
		const {outcome, found} = await this.#wait(request, Math.min(this.deadlineAt - minResponseTimeMs, now + maxWaitMs, latestSendAt), () =>
			placer.hasSilentEndpoint(this.pool, clocks.readInstant(clock)));
		if (found !== undefined) {
			return found;
		}

		return outcome === requestQueue.WaitOutcome.NoEndpoint ? this.#refuse() : {placement: undefined, retryAfterMs, inputs};
	}

	async #awaitWhileBegun(request: core.fleet.WaitingRequest): Promise<EndpointSearchResult> {
		this.dependencies.log.write(eventLog.LogEvent.RequestWaiting, {request: this.request.head.requestId});
		const {found} = await this.#wait(request, this.deadlineAt - minResponseTimeMs, () => this.#mayReturn());
		return found ?? this.#refuse();
	}

	/** Whether an endpoint that can't be chosen now may be soon: it is silent, or has asked for a pause. */
	#mayReturn(): boolean {
		const {placer, clock} = this.dependencies;
		const now = clocks.readInstant(clock);
		return placer.hasSilentEndpoint(this.pool, now) || placer.findFirstRampUp(this.request, this.pool, now) !== undefined;
	}

	#refuse(): EndpointSearchResult {
		const inputs = this.dependencies.placer.describePool(this.request, this.pool, clocks.readInstant(this.dependencies.clock));
		const areAllLeaving = inputs.responsive !== 0 && inputs.leaving === inputs.responsive;
		const retryAfterMs = areAllLeaving
			? refusals.allLeavingRetryAfterMs * (1 + this.dependencies.random())
			: this.computeRetryAfterMs();
		return {placement: undefined, retryAfterMs, inputs};
	}

	/** @param mayReturn - Returns whether the wait goes on while there is no endpoint. */
	async #wait(request: core.fleet.WaitingRequest, expiresAt: number, mayReturn: () => boolean): Promise<WaitResult> {
		let found: FoundEndpoint | undefined;
		const {ended, cancel} = this.dependencies.queue.wait({
			...request,
			pool: this.pool,
			expiresAt,
			hasCapacity: () => {
				const placement = this.place();
				found = placement && {placement, sentCount: this.dependencies.fleet.loads.sentCount};
				return placement === undefined && mayReturn() ? false : placement?.hasCapacity;
			},
		});
		this.#cancel = cancel;
		const outcome = await ended;
		this.#cancel = undefined;
		return {outcome, found: outcome === requestQueue.WaitOutcome.CapacityAvailable ? found : undefined};
	}

	#createWaitingRequest(placement: endpointPlacer.Placement | undefined): core.fleet.WaitingRequest {
		return {
			priority: placement?.enginePriority ?? 0,
			targetLatencyMs: this.request.route.targetLatencyMs,
			arrivedAt: this.request.arrivedAt,
			deadlineAt: this.deadlineAt,
			prefillTokens: placement?.choice.prefillTokens ?? 0,
			usageMark: this.request.quotaPermit?.usageMark ?? 0,
		};
	}

	/** Whether the deadline is so much shorter than the timeout of the route that an earlier attempt was probably refused. */
	#isRetry(): boolean {
		const {head, route} = this.request;
		return (head.deadlineMs ?? Infinity) < route.timeoutMs * retryTimeShare;
	}
}

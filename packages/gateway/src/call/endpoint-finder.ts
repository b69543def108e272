import * as core from '@bluebellmast/core';
import type * as endpointPlacer from '../placement/endpoint-placer.js';
import * as clocks from '../util/clocks.js';
import * as eventLog from '../util/event-log.js';
import type * as requestContext from './request-context.js';
import type * as requestDispatcher from './request-dispatcher.js';
import * as refusals from './refusal.js';
import * as requestQueue from './request-queue.js';

/** Wait after which the estimate is considered wrong, as a multiple of the expected wait. */
const maxWaitFactor = 2;
/** Time after which it is decided anew whether a request waits on, in milliseconds. */
const decisionIntervalMs = 100;
/** Longest time after which a caller should retry while a pool has no endpoint, in milliseconds: the interval at which silent endpoints are checked. */
const maxGapRetryAfterMs = 1000;
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

/** Dependencies of {@link EndpointFinder}. */
export type FinderDependencies = Pick<
	requestDispatcher.ForwarderDependencies,
	'clock' | 'failedSearches' | 'fleet' | 'gaps' | 'log' | 'placer' | 'queue' | 'random' | 'waitRules'
>;

/** What a request waits for, and for how long it is expected to. */
type ExpectedWait = {
	readonly cause: core.fleet.WaitCause;
	readonly expectedMs: number;
};

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
	/** Name of the endpoints that serve the same requests. */
	readonly #servingPool: string;

	constructor(
		private readonly request: requestContext.RoutedRequest,
		private readonly dependencies: FinderDependencies,
		private readonly deadlineAt: number,
		private readonly pool: core.routing.PoolName,
	) {
		this.#servingPool = `${pool}/${request.head.prompt?.model ?? ''}`;
	}

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
		const {clock, fleet, gaps} = this.dependencies;
		const now = clock.monotonicNow();
		const candidate = this.#search(now);
		if (candidate?.hasCapacity && (hasBegun || !gaps.isReturning(this.#servingPool, now))) {
			return {placement: candidate, sentCount: fleet.loads.sentCount};
		}

		if (hasBegun) {
			return candidate === undefined && !this.#mayReturn() ? this.#refuse() : this.#awaitWhileBegun(this.#createWaitingRequest(candidate));
		}

		return candidate === undefined || gaps.findGap(this.#servingPool, now) !== undefined
			? this.#awaitReturn(candidate, now)
			: this.#awaitCapacity(candidate, now);
	}

	/**
	 * Returns the time after which a caller should retry that no endpoint can serve now, in milliseconds: when the first endpoint is back if all that
	 * could serve the request asked for a pause.
	 */
	computeRetryAfterMs(): number {
		const first = this.place() === undefined
			? this.dependencies.placer.findFirstRampUp(this.request, this.pool, clocks.readInstant(this.dependencies.clock))
			: undefined;
		return first === undefined
			? refusals.noEndpointRetryAfterMs
			: core.fleet.computePauseRetryAfterMs(first, this.dependencies.random());
	}

	/** Chooses an endpoint, and records whether its pool has one. A pool whose engines are all stalled counts as one without endpoints. */
	#search(now: number): endpointPlacer.Placement | undefined {
		const {fleet, gaps, placer, clock} = this.dependencies;
		const instant = clocks.readInstant(clock);
		const placement = this.place();
		const stalledMs = placement?.hasCapacity === false ? placer.findStallMs(this.pool, instant) : undefined;
		if (placement !== undefined && stalledMs === undefined) {
			gaps.recordEndpoint(this.#servingPool, now);
			return placement;
		}

		const cause = placement === undefined ? placer.findWaitCause(this.request, this.pool, instant) : core.fleet.WaitCause.Silence;
		if (cause === undefined) {
			return placement;
		}

		if (!gaps.has(this.#servingPool) && fleet.registry.hasListed(this.pool) && this.#isModelConfigured()) {
			gaps.add(this.#servingPool, now);
		}

		gaps.recordAbsence(this.#servingPool, cause, now, stalledMs);
		return placement;
	}

	/** Whether the pool is configured to serve the model of the request; callers may name any model. */
	#isModelConfigured(): boolean {
		const {head: {prompt}, table} = this.request;
		return prompt === undefined || table.findPool(this.pool)?.engine?.models.includes(prompt.model) === true;
	}

	/** Waits until the pool has an endpoint again, if that is likely enough. */
	async #awaitReturn(candidate: endpointPlacer.Placement | undefined, now: number): Promise<EndpointSearchResult> {
		const {clock, gaps, placer, queue} = this.dependencies;
		const request = this.#createWaitingRequest(candidate);
		const queueMs = placer.estimateQueueMs(this.pool, queue.countTokensAhead(request, this.#servingPool));
		const gap = gaps.findGap(this.#servingPool, now);
		const mayReturn = candidate !== undefined || placer.findWaitCause(this.request, this.pool, clocks.readInstant(clock)) !== undefined;
		if (gap === undefined || !mayReturn || queue.isFull || !gaps.mayWait(this.#servingPool, this.#waitTimeLeft(now) - queueMs, now)) {
			return this.#refuse();
		}

		const found = await this.#await(request, {cause: gap.cause, expectedMs: gap.expectedMs + queueMs}, {}, now);
		return found ?? this.#refuse();
	}

	/** Waits for capacity if the expected wait allows it. */
	async #awaitCapacity(candidate: endpointPlacer.Placement, now: number): Promise<EndpointSearchResult> {
		const {clock, gaps, placer, queue, random} = this.dependencies;
		const request = this.#createWaitingRequest(candidate);
		const {mayWait, expectedMs} = placer.decideWait(this.pool, {
			queuedTokens: queue.countTokensAhead(request, this.#servingPool),
			timeLeftMs: this.deadlineAt - now,
			isRetry: this.#isRetry(),
			maxTokensPerMs: gaps.releasedTokensPerMs(this.#servingPool, now),
		}, clocks.readInstant(clock));
		// Random jitter prevents callers from retrying all at the same time.
		const retryAfterMs = Math.max(refusals.noEndpointRetryAfterMs, expectedMs * (1 + random()));
		const inputs: core.log.RefusalInputs = {
			expectedWaitMs: Math.round(expectedMs), backlogMs: Math.round(candidate.choice.backlogMs), prefill: candidate.choice.prefillTokens,
		};
		const mayQueue = gaps.isReturning(this.#servingPool, now) ? expectedMs <= this.#waitTimeLeft(now) : mayWait;
		if (!mayQueue || queue.isFull) {
			return {placement: undefined, retryAfterMs, inputs};
		}

		const found = await this.#await(request, {cause: core.fleet.WaitCause.Capacity, expectedMs}, inputs, now);
		return found ?? (this.place() === undefined ? this.#refuse() : {placement: undefined, retryAfterMs, inputs});
	}

	/** Waits for an endpoint with capacity for as long as it is likely enough that one can serve the request in time. */
	async #await(
		request: core.fleet.WaitingRequest,
		{cause, expectedMs}: ExpectedWait,
		inputs: core.log.RefusalInputs,
		now: number,
	): Promise<FoundEndpoint | undefined> {
		const {gaps, log, waitRules, clock} = this.dependencies;
		const expectedWaitMs = Math.round(expectedMs);
		log.write(eventLog.LogEvent.RequestWaiting, {request: this.request.head.requestId, ...inputs, expectedWaitMs});
		const endWaiting = gaps.countWaiting(this.#servingPool, now);
		const {outcome, found} = await this.#wait(request, now + decisionIntervalMs, {
			mayReturn: () => this.dependencies.placer.findWaitCause(this.request, this.pool, clocks.readInstant(clock)) !== undefined,
			extend: at => this.#mayWaitOn(now, expectedMs, at) ? at + decisionIntervalMs : undefined,
		});
		endWaiting();
		const waitedMs = clock.monotonicNow() - now;
		if (cause === core.fleet.WaitCause.Capacity && gaps.returnedAt(this.#servingPool) < now && outcome !== requestQueue.WaitOutcome.Cancelled) {
			waitRules.recordDuration(cause, waitedMs, found !== undefined);
		}

		log.write(eventLog.LogEvent.RequestWaited, {
			request: this.request.head.requestId, outcome, cause, expectedWaitMs, waitedMs: Math.round(waitedMs),
		});
		return found;
	}

	/** Whether a request that has waited since a time waits on. */
	#mayWaitOn(startedAt: number, expectedMs: number, now: number): boolean {
		const {gaps, waitRules} = this.dependencies;
		const timeLeftMs = this.#waitTimeLeft(now);
		if (gaps.findGap(this.#servingPool, now) !== undefined) {
			return gaps.mayWait(this.#servingPool, timeLeftMs, now);
		}

		const elapsedMs = now - Math.max(startedAt, gaps.returnedAt(this.#servingPool));
		return timeLeftMs > 0
			&& (elapsedMs < maxWaitFactor * expectedMs || waitRules.mayWait({cause: core.fleet.WaitCause.Capacity, elapsedMs, timeLeftMs}));
	}

	/** Returns the time within which a wait must end so that the request can be served, in milliseconds. */
	#waitTimeLeft(now: number): number {
		return this.deadlineAt - minResponseTimeMs - now;
	}

	async #awaitWhileBegun(request: core.fleet.WaitingRequest): Promise<EndpointSearchResult> {
		this.dependencies.log.write(eventLog.LogEvent.RequestWaiting, {request: this.request.head.requestId});
		const {found} = await this.#wait(request, this.deadlineAt - minResponseTimeMs, {mayReturn: () => this.#mayReturn()});
		return found ?? this.#refuse();
	}

	/** Whether an endpoint that can't be chosen now may be soon: it is silent, or has asked for a pause. */
	#mayReturn(): boolean {
		const {placer, clock} = this.dependencies;
		return placer.hasSilentEndpoint(this.pool) || placer.findFirstRampUp(this.request, this.pool, clocks.readInstant(clock)) !== undefined;
	}

	#refuse(): EndpointSearchResult {
		const {gaps, placer, clock, random} = this.dependencies;
		const now = clocks.readInstant(clock);
		const inputs = placer.describePool(this.request, this.pool, now);
		const areAllLeaving = inputs.responsive !== 0 && inputs.leaving === inputs.responsive;
		if (areAllLeaving) {
			return {placement: undefined, retryAfterMs: refusals.allLeavingRetryAfterMs * (1 + random()), inputs};
		}

		const isFailed = inputs.responsive === 0 && placer.findWaitCause(this.request, this.pool, now) === undefined;
		const gap = isFailed ? undefined : gaps.findGap(this.#servingPool, now.monotonic);
		const retryAfterMs = gap === undefined
			? this.computeRetryAfterMs()
			: Math.min(maxGapRetryAfterMs, Math.max(refusals.noEndpointRetryAfterMs, gap.expectedMs)) * (1 + random());
		return {placement: undefined, retryAfterMs, inputs};
	}

	/**
	 * @param conditions.mayReturn - Returns whether the wait goes on while there is no endpoint.
	 * @param conditions.extend - As that of a queued request.
	 */
	async #wait(
		request: core.fleet.WaitingRequest,
		expiresAt: number,
		{mayReturn, extend}: {readonly mayReturn: () => boolean} & Pick<requestQueue.QueuedRequest, 'extend'>,
	): Promise<WaitResult> {
		const {clock, fleet, gaps, queue} = this.dependencies;
		const pool = this.#servingPool;
		let found: FoundEndpoint | undefined;
		const {ended, cancel} = queue.wait({
			...request,
			pool,
			expiresAt,
			extend,
			isPoolHeld() {
				const now = clock.monotonicNow();
				return gaps.findGap(pool, now) !== undefined || gaps.isHeldBack(pool, now);
			},
			hasCapacity: isExpiring => {
				const now = clock.monotonicNow();
				const placement = this.#search(now);
				if (placement === undefined) {
					return mayReturn() ? false : undefined;
				}

				if (!placement.hasCapacity || (gaps.isHeldBack(pool, now) && !isExpiring)) {
					return false;
				}

				gaps.recordSent(pool, placement.choice.prefillTokens, now);
				found = {placement, sentCount: fleet.loads.sentCount};
				return true;
			},
		});
		this.#cancel = cancel;
		const outcome = await ended;
		this.#cancel = undefined;
		return {outcome, found: outcome === requestQueue.WaitOutcome.CapacityAvailable ? found : undefined};
	}

	#createWaitingRequest(placement: endpointPlacer.Placement | undefined): core.fleet.WaitingRequest {
		const {priority, prefillTokens} = this.dependencies.placer.describeUnplaced(this.request);
		return {
			priority: placement?.enginePriority ?? priority,
			targetLatencyMs: this.request.route.targetLatencyMs,
			arrivedAt: this.request.arrivedAt,
			deadlineAt: this.deadlineAt,
			prefillTokens: placement?.choice.prefillTokens ?? prefillTokens,
		};
	}

	/** Whether the deadline is so much shorter than the timeout of the route that an earlier attempt was probably refused. */
	#isRetry(): boolean {
		const {head, route} = this.request;
		return (head.deadlineMs ?? Infinity) < route.timeoutMs * retryTimeShare;
	}
}

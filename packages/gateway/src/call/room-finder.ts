import type * as core from '@bluebellmast/core';
import type * as endpointPlacer from '../placement/endpoint-placer.js';
import * as eventLog from '../util/event-log.js';
import type * as callContext from './call-context.js';
import type * as callDispatcher from './call-dispatcher.js';
import * as refusals from './refusal.js';
import * as waitingRoom from './waiting-room.js';

/** Wait after which the expectation has proved wrong, as a multiple of it, and the least such wait in milliseconds. */
const maxWaitFactor = 2;
const minWaitMs = 1000;
/** Part of the time of a route below which a deadline shows that the caller comes back after a refusal. */
const repeatTimeShare = 0.95;
/** Time that must be left after a wait for the answer itself, in milliseconds. */
const answerTimeMs = 500;

/** Result of a search: an endpoint with room, or the time after which to come back. */
export type RoomResult =
	| {readonly placement: endpointPlacer.Placement}
	| {readonly placement: undefined; readonly retryAfterMs: number; readonly inputs: core.log.RefusalInputs};

/** Finds an endpoint with room for one request, and waits for one when there is none. */
export class RoomFinder {
	#cancel: (() => void) | undefined;

	/** @param place - Chooses an endpoint now. */
	constructor(
		private readonly call: callContext.RoutedCall,
		private readonly parts: callDispatcher.DispatchParts,
		private readonly deadlineAt: number,
		private readonly place: () => endpointPlacer.Placement | undefined,
	) {}

	/** Gives up the wait, if there is one. */
	cancel(): void {
		this.#cancel?.();
	}

	/** Finds an endpoint of a pool. */
	async find(pool: core.routing.PoolName): Promise<RoomResult> {
		const now = this.parts.clock.steadyNow();
		const first = this.place();
		if (first === undefined) {
			return {placement: undefined, retryAfterMs: refusals.noEndpointRetryMs, inputs: this.parts.placer.describePool(this.call, pool, now)};
		}

		if (first.hasCapacity) {
			return {placement: first};
		}

		const request = this.#describe(first);
		const {mayWait, expectedMs} = this.parts.placer.decideWait(pool, {
			queuedTokens: this.parts.waiting.tokensAhead(request),
			timeLeftMs: this.deadlineAt - now,
			isRetry: this.#isRepeat(),
		});
		// Callers come back over a span of time, not as one wave.
		const retryAfterMs = Math.max(refusals.noEndpointRetryMs, expectedMs * (1 + this.parts.random()));
		const inputs: core.log.RefusalInputs = {
			expectedWaitMs: Math.round(expectedMs), backlogMs: Math.round(first.choice.backlogMs), prefill: first.choice.prefillTokens,
		};
		if (!mayWait) {
			return {placement: undefined, retryAfterMs, inputs};
		}

		this.parts.log.write(eventLog.LogEvent.RequestWaiting, {request: this.call.head.requestId, ...inputs});
		const patienceMs = Math.max(maxWaitFactor * expectedMs, minWaitMs);
		const placement = await this.#wait(request, Math.min(this.deadlineAt - answerTimeMs, now + patienceMs));
		return placement === undefined ? {placement, retryAfterMs, inputs} : {placement};
	}

	async #wait(request: core.fleet.WaitingRequest, expiresAt: number): Promise<endpointPlacer.Placement | undefined> {
		let found: endpointPlacer.Placement | undefined;
		const {ended, cancel} = this.parts.waiting.wait({
			...request,
			expiresAt,
			hasRoom: () => {
				found = this.place();
				return found === undefined || found.hasCapacity;
			},
		});
		this.#cancel = cancel;
		const end = await ended;
		this.#cancel = undefined;
		return end === waitingRoom.WaitEnd.Room ? found : undefined;
	}

	#describe(first: endpointPlacer.Placement): core.fleet.WaitingRequest {
		return {
			priority: first.enginePriority ?? 0,
			targetLatencyMs: this.call.route.targetLatencyMs,
			arrivedAt: this.call.arrivedAt,
			deadlineAt: this.deadlineAt,
			prefillTokens: first.choice.prefillTokens,
		};
	}

	/** Whether the caller has less time than its route gives, since an earlier try was refused. */
	#isRepeat(): boolean {
		const {head, route} = this.call;
		return (head.deadlineMs ?? Infinity) < route.timeoutMs * repeatTimeShare;
	}
}

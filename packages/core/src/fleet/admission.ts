import type * as chooseEndpoint from './choose-endpoint.js';

/** Limits on the backlog that engines are given and on the time that requests wait in the queue of a VM. */
export type AdmissionLimits = {
	/** Maximum number of prompt tokens to compute with which a request counts as small. */
	readonly maxSmallPrefillTokens: number;
	/** Maximum backlog of an engine that is sent a small request, as a share of the request's target latency. */
	readonly smallBacklogShare: number;
	/** The same for all other requests; smaller, so that capacity is left for small requests. */
	readonly largeBacklogShare: number;
	/** Maximum expected wait of a request, in milliseconds; a request that would wait longer is refused on arrival. */
	readonly maxWaitMs: number;
	/** Maximum expected wait of a request that the caller retries after a refusal, as a share of its remaining time. */
	readonly maxRetryWaitShare: number;
};

/**
 * A small request that waits behind a backlog as long as its target latency misses the target in any case. A large request
 * occupies an engine for several target latencies of small requests, so it is sent only to an engine that is nearly idle.
 */
export const defaultAdmissionLimits: AdmissionLimits = {
	maxSmallPrefillTokens: 1500, smallBacklogShare: 0.8, largeBacklogShare: 0.1, maxWaitMs: 1200, maxRetryWaitShare: 0.5,
};

/**
 * Returns whether an engine's backlog is short enough to send it a request now. Otherwise the request waits at the VM, where
 * it delays no other request.
 */
export function canAdmit(choice: chooseEndpoint.EndpointChoice, targetLatencyMs: number, limits: AdmissionLimits): boolean {
	const share = choice.prefillTokens <= limits.maxSmallPrefillTokens ? limits.smallBacklogShare : limits.largeBacklogShare;
	return choice.backlogMs <= targetLatencyMs * share;
}

/** Returns the largest backlog of an engine that is sent any request with the target latency, in milliseconds. */
export function computeMaxBacklogMs(targetLatencyMs: number, {smallBacklogShare, largeBacklogShare}: AdmissionLimits): number {
	return targetLatencyMs * Math.max(smallBacklogShare, largeBacklogShare);
}

/** A request that waits at the VM until an engine can take it. */
export type WaitingRequest = {
	/** Priority; 0 is the most urgent. */
	readonly priority: number;
	readonly targetLatencyMs: number;
	/** Prompt tokens that an engine will have to compute. */
	readonly prefillTokens: number;
	/** Time of arrival, in milliseconds. */
	readonly arrivedAt: number;
	readonly deadlineAt: number;
	/**
	 * A random part of what the account uses relative to its quota; 0 without a quota. By this mark the requests of all VMs are divided alike: of
	 * the accounts that use more than a level, just the usage below it comes before the rest of all accounts.
	 */
	readonly usageMark: number;
};

/** Difference of marks below which the time of arrival decides. */
const usageMarkStep = 0.1;

/**
 * Orders waiting requests, for `Array.sort`. Requests within their target latency come first, by priority, their account's usage of its quota, and
 * arrival time. Requests past their target latency lose nothing more by waiting; they come last, by deadline.
 */
export function compareWaitingRequests(a: WaitingRequest, b: WaitingRequest, now: number): number {
	const isLateA = now - a.arrivedAt > a.targetLatencyMs;
	const isLateB = now - b.arrivedAt > b.targetLatencyMs;
	if (isLateA !== isLateB) {
		return isLateA ? 1 : -1;
	}

	return isLateA
		? a.deadlineAt - b.deadlineAt
		: a.priority - b.priority || getUsageLevel(a) - getUsageLevel(b) || a.arrivedAt - b.arrivedAt;
}

function getUsageLevel({usageMark}: WaitingRequest): number {
	return Math.floor(usageMark / usageMarkStep);
}

/** Input for the expected wait of a request. */
export type WaitConditions = {
	/** Prompt tokens of the requests that already wait at this VM. */
	readonly queuedTokens: number;
	/** Prompt tokens that the engines compute for this VM per millisecond. */
	readonly tokensPerMs: number;
	readonly timeLeftMs: number;
	/** Expected time until this VM may send the request to an endpoint that limits its requests, in milliseconds; 0 if another one may take it. */
	readonly permitWaitMs: number;
	readonly targetLatencyMs: number;
	/** Whether the caller retries the request after a refusal. */
	readonly isRetry: boolean;
};

/** Whether a request may wait, and its expected wait, after which a refused caller should retry. */
export type WaitDecision = {
	readonly mayWait: boolean;
	/** Expected wait, in milliseconds. */
	readonly expectedMs: number;
};

/** Decides whether an arriving request that no engine can take now may wait. A request that can't be served is refused at once. */
export function decideWait(conditions: WaitConditions, limits: AdmissionLimits): WaitDecision {
	const {permitWaitMs, timeLeftMs} = conditions;
	const queuedMs = conditions.queuedTokens / Math.max(conditions.tokensPerMs, Number.EPSILON);
	const expectedMs = Math.max(queuedMs, permitWaitMs);
	const retryMs = conditions.isRetry ? timeLeftMs * limits.maxRetryWaitShare : 0;
	// Permits come at a fixed rate: a longer queue for them serves no more requests, and all of them late.
	const maxPermitWaitMs = Math.max(conditions.targetLatencyMs * limits.smallBacklogShare, retryMs);
	const mayWait = expectedMs <= Math.min(Math.max(limits.maxWaitMs, retryMs), timeLeftMs) && permitWaitMs <= maxPermitWaitMs;
	return {mayWait, expectedMs};
}

import type * as chooseEndpoint from './choose-endpoint.js';

/** Bounds of what engines are given at once, and of the wait for room. */
export type AdmissionLimits = {
	/** Prompt tokens to compute up to which a request counts as small. */
	readonly maxSmallPrefillTokens: number;
	/** Backlog of an engine up to which small requests are sent there, as a share of their target latency. */
	readonly smallBacklogShare: number;
	/** The same for all others, which leave room for the small ones. */
	readonly largeBacklogShare: number;
	/** Longest expected wait of a request, in milliseconds; one that would wait longer is refused at once. */
	readonly maxWaitMs: number;
	/** Longest expected wait of a request that came back after a refusal, as a share of the time that it has left. */
	readonly maxRetryWaitShare: number;
};

/**
 * A small request behind a backlog of its target latency would be late in any case. A large one takes an engine for
 * several targets of small ones, so it starts only on an engine that is nearly free.
 */
export const defaultAdmissionLimits: AdmissionLimits = {
	maxSmallPrefillTokens: 1500, smallBacklogShare: 0.8, largeBacklogShare: 0.1, maxWaitMs: 1200, maxRetryWaitShare: 0.5,
};

/** Whether an engine has room for a request now; otherwise it waits at the VM, where it holds up nothing. */
export function canAdmit(choice: chooseEndpoint.EndpointChoice, targetLatencyMs: number, terms: AdmissionLimits): boolean {
	const share = choice.prefillTokens <= terms.maxSmallPrefillTokens ? terms.smallBacklogShare : terms.largeBacklogShare;
	return choice.backlogMs <= targetLatencyMs * share;
}

/** A request that waits for room. */
export type WaitingRequest = {
	/** Rank; 0 is the most urgent. */
	readonly priority: number;
	readonly targetLatencyMs: number;
	/** Prompt tokens that an engine will have to compute. */
	readonly prefillTokens: number;
	/** When the request arrived, in milliseconds. */
	readonly arrivedAt: number;
	readonly deadlineAt: number;
};

/**
 * Orders waiting requests: first those that can still be in time, by urgency and arrival; then the late ones, which lose
 * no more by waiting, by their deadlines.
 */
export function compareWaitingRequests(a: WaitingRequest, b: WaitingRequest, now: number): number {
	const isLateA = now - a.arrivedAt > a.targetLatencyMs;
	const isLateB = now - b.arrivedAt > b.targetLatencyMs;
	if (isLateA !== isLateB) {
		return isLateA ? 1 : -1;
	}

	return isLateA
		? a.deadlineAt - b.deadlineAt
		: a.priority - b.priority || a.arrivedAt - b.arrivedAt;
}

/** What the expected wait of a request rests on. */
export type WaitConditions = {
	/** Prompt tokens of the requests that wait at this VM already. */
	readonly queuedTokens: number;
	/** Prompt tokens that the engines compute for this VM in a millisecond. */
	readonly tokensPerMs: number;
	readonly timeLeftMs: number;
	/** Whether the caller was refused before. */
	readonly isRetry: boolean;
};

/** Whether a request may wait, and after what time it should come back otherwise. */
export type WaitDecision = {
	readonly mayWait: boolean;
	/** Expected wait, in milliseconds. */
	readonly expectedMs: number;
};

/** Decides at arrival whether a request for which there is no room may wait: what can't be served is refused at once. */
export function decideWait(outlook: WaitConditions, terms: AdmissionLimits): WaitDecision {
	const expectedMs = outlook.queuedTokens / Math.max(outlook.tokensPerMs, Number.EPSILON);
	const maxMs = outlook.isRetry
		? Math.max(terms.maxWaitMs, outlook.timeLeftMs * terms.maxRetryWaitShare)
		: terms.maxWaitMs;
	return {mayWait: expectedMs <= Math.min(maxMs, outlook.timeLeftMs), expectedMs};
}

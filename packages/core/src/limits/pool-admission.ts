import * as model from '../model/index.js';
import * as util from '../util/index.js';
import * as concurrencyLimit from './concurrency-limit.js';
import * as fairQueue from './fair-queue.js';

/** Weight of a new sample in a moving average. */
const sampleWeight = 0.1;

/** Options of the admission to a pool. */
export type PoolAdmissionOptions = {
	/** Maximum number of queued requests. */
	readonly maxQueue: number;
	/** Smallest `retryAfterMs` of a refusal. */
	readonly minRetryAfterMs: number;
};

/** State of the admission of one router's requests to one pool. */
export type PoolAdmission = {
	readonly options: PoolAdmissionOptions;
	readonly limit: concurrencyLimit.ConcurrencyLimit;
	readonly queue: fairQueue.FairQueue;
	/** Admission time of each request in flight, in milliseconds. */
	readonly inFlight: ReadonlyMap<model.RequestId, number>;
	/** Moving average of the time from admission to the start of the response, in milliseconds. */
	readonly beginMs: number;
	/** Moving average of the time from admission to the end of the request, in milliseconds. */
	readonly holdMs: number;
};

/** Type of an admission event. */
export enum AdmissionEventType {
	Arrive = 'arrive',
	/** The response to a request started. */
	Begin = 'begin',
	/** The request ended, or its caller disconnected while it was queued. */
	End = 'end',
	/** New load reports of the pool arrived. */
	Load = 'load',
	/** Time has passed; queued requests may have become too late. */
	Wake = 'wake',
}

/** An event that changes the admission state. */
export type AdmissionEvent =
	| {readonly type: AdmissionEventType.Arrive; readonly request: fairQueue.QueuedRequest}
	| {readonly type: AdmissionEventType.Begin; readonly id: model.RequestId}
	| {readonly type: AdmissionEventType.End; readonly id: model.RequestId}
	| {
		readonly type: AdmissionEventType.Load;
		readonly load: concurrencyLimit.PoolLoad;
		readonly capacity: number;
		readonly routers: number;
	}
	| {readonly type: AdmissionEventType.Wake};

/** Type of an admission effect. */
export enum AdmissionEffectType {
	Admit = 'admit',
	Refuse = 'refuse',
}

/** Decision about a request. */
export type AdmissionEffect =
	| {readonly type: AdmissionEffectType.Admit; readonly id: model.RequestId}
	| {
		readonly type: AdmissionEffectType.Refuse;
		readonly id: model.RequestId;
		readonly code: model.ErrorCode.Overloaded;
		readonly retryAfterMs: number;
	};

type AdmissionStep = util.Step<PoolAdmission, AdmissionEffect>;

/** Creates the admission state of a pool. */
export function createPoolAdmission(
	limit: concurrencyLimit.ConcurrencyLimit,
	options: Partial<PoolAdmissionOptions> = {},
): PoolAdmission {
	return {
		options: {maxQueue: 200, minRetryAfterMs: 100, ...options},
		limit,
		queue: fairQueue.createFairQueue(),
		inFlight: new Map(),
		beginMs: 0,
		holdMs: 0,
	};
}

/** Estimates the time until a number of queued requests is admitted, in milliseconds. */
function estimateDrainMs(admission: PoolAdmission, count: number): number {
	return count * admission.holdMs / Math.max(1, admission.limit.limit);
}

function refuse(admission: PoolAdmission, id: model.RequestId): AdmissionEffect {
	const retryAfterMs = Math.max(admission.options.minRetryAfterMs, estimateDrainMs(admission, admission.queue.items.length));
	return {
		type: AdmissionEffectType.Refuse, id, code: model.ErrorCode.Overloaded, retryAfterMs,
	};
}

function admit(admission: PoolAdmission, item: fairQueue.QueuedRequest, now: number): AdmissionStep {
	const queue = fairQueue.countAdmission(fairQueue.removeFromQueue(admission.queue, item.id), item.account, item.share);
	const inFlight = new Map(admission.inFlight).set(item.id, now);
	return {state: {...admission, queue, inFlight}, effects: [{type: AdmissionEffectType.Admit, id: item.id}]};
}

function isBelowLimit(admission: PoolAdmission): boolean {
	return admission.inFlight.size < Math.max(1, Math.floor(admission.limit.limit));
}

/**
 * Returns whether the response to a request is expected to start after its deadline. The average time to the start counts at most half
 * of the request's total time. Otherwise a high average alone would refuse every new request, and no new samples would arrive.
 */
function willMissDeadline(admission: PoolAdmission, item: fairQueue.QueuedRequest, waitMs: number, now: number): boolean {
	const beginMs = Math.min(admission.beginMs, (item.deadlineAt - item.arrivedAt) / 2);
	return now + waitMs + beginMs >= item.deadlineAt;
}

function refuseLateRequests(admission: PoolAdmission, now: number): AdmissionStep {
	const late = admission.queue.items.filter(item => willMissDeadline(admission, item, 0, now));
	if (late.length === 0) {
		return {state: admission, effects: []};
	}

	const items = admission.queue.items.filter(item => !late.includes(item));
	const state = {...admission, queue: {...admission.queue, items}};
	return {state, effects: late.map(item => refuse(state, item.id))};
}

function drain(admission: PoolAdmission, now: number): AdmissionStep {
	let {state, effects} = refuseLateRequests(admission, now);
	for (;;) {
		const item = isBelowLimit(state) ? fairQueue.nextInQueue(state.queue) : undefined;
		if (item === undefined) {
			return {state, effects};
		}

		const step = admit(state, item, now);
		state = step.state;
		effects = [...effects, ...step.effects];
	}
}

function arrive(admission: PoolAdmission, item: fairQueue.QueuedRequest, now: number): AdmissionStep {
	const isQueued = admission.queue.items.length > 0 || !isBelowLimit(admission);
	const waitMs = isQueued ? estimateDrainMs(admission, fairQueue.countAhead(admission.queue, item) + 1) : 0;
	if (willMissDeadline(admission, item, waitMs, now)) {
		return {state: admission, effects: [refuse(admission, item.id)]};
	}

	const queue = fairQueue.addToQueue(admission.queue, item);
	const shedRequest = queue.items.length > admission.options.maxQueue
		? fairQueue.chooseRequestToShed(queue, admission.options.maxQueue)
		: undefined;
	if (shedRequest === undefined) {
		return drain({...admission, queue}, now);
	}

	const state = {...admission, queue: fairQueue.removeFromQueue(queue, shedRequest.id)};
	const drained = drain(state, now);
	return {state: drained.state, effects: [refuse(state, shedRequest.id), ...drained.effects]};
}

function updateMean(mean: number, sample: number): number {
	return mean === 0 ? sample : mean + ((sample - mean) * sampleWeight);
}

function recordBegin(admission: PoolAdmission, id: model.RequestId, now: number): PoolAdmission {
	const admittedAt = admission.inFlight.get(id);
	return admittedAt === undefined ? admission : {...admission, beginMs: updateMean(admission.beginMs, now - admittedAt)};
}

function recordEnd(admission: PoolAdmission, id: model.RequestId, now: number): PoolAdmission {
	const admittedAt = admission.inFlight.get(id);
	if (admittedAt === undefined) {
		return {...admission, queue: fairQueue.removeFromQueue(admission.queue, id)};
	}

	const inFlight = new Map(admission.inFlight);
	inFlight.delete(id);
	return {...admission, inFlight, holdMs: updateMean(admission.holdMs, now - admittedAt)};
}

function decide(admission: PoolAdmission, event: AdmissionEvent, now: number): AdmissionStep {
	switch (event.type) {
		case AdmissionEventType.Arrive: {
			return arrive(admission, event.request, now);
		}

		case AdmissionEventType.Begin: {
			return {state: recordBegin(admission, event.id, now), effects: []};
		}

		case AdmissionEventType.End: {
			return drain(recordEnd(admission, event.id, now), now);
		}

		case AdmissionEventType.Load: {
			const resized = concurrencyLimit.resizeLimit(admission.limit, event.capacity, event.routers);
			const limit = concurrencyLimit.adaptLimit(resized, event.load, admission.inFlight.size, now);
			return drain({...admission, limit}, now);
		}

		case AdmissionEventType.Wake: {
			return drain(admission, now);
		}
	}
}

/** Applies an event to the admission state. Each arrival leads to exactly one effect, of this event or a later one. */
export function stepAdmission(admission: PoolAdmission, event: AdmissionEvent, now: number): AdmissionStep {
	const step = decide(admission, event, now);
	const {queue, options} = step.state;
	util.assertInvariant(queue.items.length <= options.maxQueue, 'limits.queue-bound', () => `${queue.items.length} requests are queued, more than maxQueue`);
	return step;
}

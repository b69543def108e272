import * as model from '../model/index.js';
import * as util from '../util/index.js';
import * as concurrencyLimit from './concurrency-limit.js';
import * as fairQueue from './fair-queue.js';

/** Part of a new sample in a moving average. */
const sampleWeight = 0.1;

/** Limits of a pool's admission. */
export type PoolAdmissionOptions = {
	/** Requests that wait. */
	readonly maxQueue: number;
	/** Shortest time to come back that a refusal names. */
	readonly minRetryAfterMs: number;
};

/** Admission of one router's requests to one pool. */
export type PoolAdmission = {
	readonly options: PoolAdmissionOptions;
	readonly limit: concurrencyLimit.ConcurrencyLimit;
	readonly queue: fairQueue.FairQueue;
	/** When each request under way was admitted. */
	readonly underWay: ReadonlyMap<model.RequestId, number>;
	/** Mean time from admission to the begin of the answer. */
	readonly beginMs: number;
	/** Mean time from admission to the end. */
	readonly holdMs: number;
};

/** Type of an event of a pool's admission. */
export enum AdmissionEventType {
	Arrive = 'arrive',
	/** The answer began. */
	Begin = 'begin',
	/** The request ended, or its caller went away while it waited. */
	End = 'end',
	/** New load reports of the pool. */
	Load = 'load',
	/** Time has passed. */
	Wake = 'wake',
}

/** An event of a pool's admission. */
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

/** Type of an effect of a pool's admission. */
export enum AdmissionEffectType {
	Admit = 'admit',
	Refuse = 'refuse',
}

/** What becomes of a request. */
export type AdmissionEffect =
	| {readonly type: AdmissionEffectType.Admit; readonly id: model.RequestId}
	| {
		readonly type: AdmissionEffectType.Refuse;
		readonly id: model.RequestId;
		readonly code: model.ErrorCode.Overloaded;
		readonly retryAfterMs: number;
	};

type AdmissionStep = util.Step<PoolAdmission, AdmissionEffect>;

/** Creates the admission of a pool. */
export function createPoolAdmission(
	limit: concurrencyLimit.ConcurrencyLimit,
	terms: Partial<PoolAdmissionOptions> = {},
): PoolAdmission {
	return {
		options: {maxQueue: 200, minRetryAfterMs: 100, ...terms},
		limit,
		queue: fairQueue.createFairQueue(),
		underWay: new Map(),
		beginMs: 0,
		holdMs: 0,
	};
}

/** Returns the time that a number of queued requests takes to be admitted. */
function drainMs(admission: PoolAdmission, count: number): number {
	return count * admission.holdMs / Math.max(1, admission.limit.limit);
}

function refuse(admission: PoolAdmission, id: model.RequestId): AdmissionEffect {
	const retryAfterMs = Math.max(admission.options.minRetryAfterMs, drainMs(admission, admission.queue.items.length));
	return {
		type: AdmissionEffectType.Refuse, id, code: model.ErrorCode.Overloaded, retryAfterMs,
	};
}

function admit(admission: PoolAdmission, item: fairQueue.QueuedRequest, now: number): AdmissionStep {
	const queue = fairQueue.countAdmission(fairQueue.removeFromQueue(admission.queue, item.id), item.account, item.share);
	const underWay = new Map(admission.underWay).set(item.id, now);
	return {state: {...admission, queue, underWay}, effects: [{type: AdmissionEffectType.Admit, id: item.id}]};
}

function isBelowLimit(admission: PoolAdmission): boolean {
	return admission.underWay.size < Math.max(1, Math.floor(admission.limit.limit));
}

/**
 * Returns whether a request cannot begin to be answered by its deadline. The mean time to begin counts for half of the
 * request's time at most, so that a high mean alone refuses no new request and new samples keep coming.
 */
function willMissDeadline(admission: PoolAdmission, item: fairQueue.QueuedRequest, waitMs: number, now: number): boolean {
	const beginMs = Math.min(admission.beginMs, (item.deadlineAt - item.arrivedAt) / 2);
	return now + waitMs + beginMs >= item.deadlineAt;
}

function refuseLateRequests(admission: PoolAdmission, now: number): AdmissionStep {
	const hopeless = admission.queue.items.filter(item => willMissDeadline(admission, item, 0, now));
	if (hopeless.length === 0) {
		return {state: admission, effects: []};
	}

	const items = admission.queue.items.filter(item => !hopeless.includes(item));
	const state = {...admission, queue: {...admission.queue, items}};
	return {state, effects: hopeless.map(item => refuse(state, item.id))};
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
	const waitMs = isQueued ? drainMs(admission, fairQueue.countAhead(admission.queue, item) + 1) : 0;
	if (willMissDeadline(admission, item, waitMs, now)) {
		return {state: admission, effects: [refuse(admission, item.id)]};
	}

	const queue = fairQueue.addToQueue(admission.queue, item);
	const victim = queue.items.length > admission.options.maxQueue
		? fairQueue.chooseRequestToShed(queue, admission.options.maxQueue)
		: undefined;
	if (victim === undefined) {
		return drain({...admission, queue}, now);
	}

	const state = {...admission, queue: fairQueue.removeFromQueue(queue, victim.id)};
	const drained = drain(state, now);
	return {state: drained.state, effects: [refuse(state, victim.id), ...drained.effects]};
}

function updateMean(mean: number, sample: number): number {
	return mean === 0 ? sample : mean + ((sample - mean) * sampleWeight);
}

function recordBegin(admission: PoolAdmission, id: model.RequestId, now: number): PoolAdmission {
	const admittedAt = admission.underWay.get(id);
	return admittedAt === undefined ? admission : {...admission, beginMs: updateMean(admission.beginMs, now - admittedAt)};
}

function recordEnd(admission: PoolAdmission, id: model.RequestId, now: number): PoolAdmission {
	const admittedAt = admission.underWay.get(id);
	if (admittedAt === undefined) {
		return {...admission, queue: fairQueue.removeFromQueue(admission.queue, id)};
	}

	const underWay = new Map(admission.underWay);
	underWay.delete(id);
	return {...admission, underWay, holdMs: updateMean(admission.holdMs, now - admittedAt)};
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
			const limit = concurrencyLimit.adaptLimit(resized, event.load, admission.underWay.size, now);
			return drain({...admission, limit}, now);
		}

		case AdmissionEventType.Wake: {
			return drain(admission, now);
		}
	}
}

/** Takes one event of a pool's admission. Each arrival is answered once, at once or later, by an effect. */
export function stepAdmission(admission: PoolAdmission, event: AdmissionEvent, now: number): AdmissionStep {
	const step = decide(admission, event, now);
	const {queue, options: terms} = step.state;
	util.assertInvariant(queue.items.length <= terms.maxQueue, 'limits.queue-bound', () => `${queue.items.length} requests wait`);
	return step;
}

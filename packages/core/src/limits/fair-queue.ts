import type * as model from '../model/index.js';

/** A request that waits for admission to a pool. */
export type QueuedRequest = {
	readonly id: model.RequestId;
	readonly account: model.AccountId;
	/** Weight of the account in the distribution of capacity. */
	readonly share: number;
	/** Weight of the request's kind; requests with a smaller weight are shed first. */
	readonly weight: number;
	/** Requests of an account with a larger priority are admitted first. */
	readonly priority: number;
	readonly repeatable: boolean;
	/** Time by which the response must have started, in milliseconds since the epoch. */
	readonly deadlineAt: number;
	readonly arrivedAt: number;
};

/** Weighted fair queue over client accounts, ordered by virtual start times. */
export type FairQueue = {
	/** In order of arrival. */
	readonly items: readonly QueuedRequest[];
	readonly virtualTime: number;
	/** Virtual start time of the next request, by account. */
	readonly nextStarts: ReadonlyMap<model.AccountId, number>;
};

/** Creates an empty queue. */
export function createFairQueue(): FairQueue {
	return {items: [], virtualTime: 0, nextStarts: new Map()};
}

/**
 * Counts an admitted request of an account, which advances the virtual start time of the account's next request. Start times that have
 * passed are removed, since they are equal to none.
 */
export function countAdmission(queue: FairQueue, account: model.AccountId, share: number): FairQueue {
	const start = Math.max(queue.virtualTime, queue.nextStarts.get(account) ?? 0);
	const nextStarts = new Map([...queue.nextStarts].filter(([, nextStart]) => nextStart > start));
	nextStarts.set(account, start + (1 / Math.max(share, Number.EPSILON)));
	return {...queue, virtualTime: start, nextStarts};
}

function isServedBefore(queue: FairQueue, a: QueuedRequest, b: QueuedRequest): boolean {
	if (a.account === b.account) {
		return a.priority > b.priority;
	}

	const startOf = (item: QueuedRequest) => Math.max(queue.virtualTime, queue.nextStarts.get(item.account) ?? 0);
	return startOf(a) < startOf(b);
}

/** Returns the next request to admit; `undefined` if the queue is empty. */
export function nextInQueue(queue: FairQueue): QueuedRequest | undefined {
	let first: QueuedRequest | undefined;
	for (const item of queue.items) {
		if (first === undefined || isServedBefore(queue, item, first)) {
			first = item;
		}
	}

	return first;
}

/** Adds a request. */
export function addToQueue(queue: FairQueue, item: QueuedRequest): FairQueue {
	return {...queue, items: [...queue.items, item]};
}

/** Removes a request. */
export function removeFromQueue(queue: FairQueue, id: model.RequestId): FairQueue {
	return {...queue, items: queue.items.filter(item => item.id !== id)};
}

/** Estimates how many queued requests are admitted before a new one, if every account uses its share. */
export function countAhead(queue: FairQueue, item: QueuedRequest): number {
	const ownAhead = queue.items.filter(other => other.account === item.account && other.priority >= item.priority).length;
	const others = new Map<model.AccountId, {count: number; share: number}>();
	for (const other of queue.items) {
		if (other.account !== item.account) {
			const entry = others.get(other.account) ?? {count: 0, share: other.share};
			others.set(other.account, {...entry, count: entry.count + 1});
		}
	}

	let ahead = ownAhead;
	for (const {count, share} of others.values()) {
		ahead += Math.min(count, (ownAhead + 1) * share / Math.max(item.share, Number.EPSILON));
	}

	return ahead;
}

function isShedBefore(a: QueuedRequest, b: QueuedRequest): boolean {
	if (a.repeatable !== b.repeatable) {
		return a.repeatable;
	}

	return a.weight === b.weight ? a.arrivedAt >= b.arrivedAt : a.weight < b.weight;
}

/**
 * Returns the request to shed from a queue that exceeds its maximum length: repeatable requests first, then those with the smallest
 * weight, then the latest. Only requests of accounts that use more than their share of the queue are shed.
 */
export function chooseRequestToShed(queue: FairQueue, maxLength: number): QueuedRequest | undefined {
	const counts = new Map<model.AccountId, {count: number; share: number}>();
	for (const item of queue.items) {
		counts.set(item.account, {count: (counts.get(item.account)?.count ?? 0) + 1, share: item.share});
	}

	let totalShare = 0;
	for (const {share} of counts.values()) {
		totalShare += share;
	}

	let candidate: QueuedRequest | undefined;
	for (const item of queue.items) {
		const {count, share} = counts.get(item.account)!;
		const isOverShare = count > maxLength * share / Math.max(totalShare, Number.EPSILON);
		if (isOverShare && (candidate === undefined || isShedBefore(item, candidate))) {
			candidate = item;
		}
	}

	return candidate;
}

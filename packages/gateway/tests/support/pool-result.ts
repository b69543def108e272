/** What the callers saw. */
export type PoolResult = {
	requests: number;
	served: number;
	/** Requests that were not served before their deadline. */
	lost: number;
	/** Refusals on arrival at a VM. */
	earlyRefusals: number;
	/** Refusals after a wait. */
	lateRefusals: number;
	/** Refusals after two endpoints turned the request away as full. */
	exhausted: number;
	/** Sum of the waits before late refusals, in milliseconds. */
	lateRefusalMs: number;
	/** Requests that endpoints turned away as full. */
	turnedAway: number;
	/** Largest number of requests that waited at one VM. */
	maxQueued: number;
	/** Largest number of requests that arrived at endpoints within 20 ms. */
	maxArrivals: number;
	/** Times from arrival to the first token, in milliseconds. */
	readonly firstTokenMs: number[];
	/** Differences between real and expected waits, by cause. */
	readonly waitErrors: Map<string, number[]>;
};

/** Creates a result without requests. */
export function createPoolResult(): PoolResult {
	return {
		requests: 0, served: 0, lost: 0, earlyRefusals: 0, lateRefusals: 0, exhausted: 0, lateRefusalMs: 0, turnedAway: 0, maxQueued: 0, maxArrivals: 0,
		firstTokenMs: [], waitErrors: new Map(),
	};
}

/** Describes the results of the code without and with a change. */
export function compare(before: PoolResult, after: PoolResult): string {
	const refusals = [before, after].map(each => `${each.earlyRefusals}/${each.lateRefusals}/${each.exhausted}`).join(' -> ');
	const means = [before, after].map(each => Math.round(each.firstTokenMs.reduce((sum, ms) => sum + ms, 0) / each.firstTokenMs.length)).join(' -> ');
	return `refused at once/after a wait/after two attempts ${refusals}; turned away ${before.turnedAway} -> ${after.turnedAway}; `
		+ `most arrivals in 20 ms ${before.maxArrivals} -> ${after.maxArrivals}; most queued ${after.maxQueued}; mean first token ${means} ms`;
}

import type * as records from './platform-records.js';

/** Checks that servers of a service get no more repeated arrivals of requests in any window than the retry budget allows; returns the findings. */
export function checkRetryBudget(record: records.PlatformRecord): records.Finding[] {
	const services = new Set((record.arrivals ?? []).map(({service}) => service));
	return [...services].flatMap(service => {
		const retryTimes = listRetryTimes((record.arrivals ?? []).filter(arrival => arrival.service === service));
		const sentTimes = record.exchanges.filter(exchange => exchange.service === service).map(({sentAt}) => sentAt);
		const excesses = retryTimes
			.map(at => ({at, retries: countWithin(retryTimes, at, record.bounds.retryWindowMs), allowed: findAllowed(record.bounds, sentTimes, at)}))
			.filter(({retries, allowed}) => retries > allowed);
		const worst = excesses.sort((first, second) => (second.retries - second.allowed) - (first.retries - first.allowed))[0];
		return worst === undefined
			? []
			: [{check: 'retry budget', text: `${service} got ${worst.retries} repeated arrivals in a window, ${Math.floor(worst.allowed)} are allowed`}];
	});
}

/** Lists the times of all arrivals of requests but the first of each. */
function listRetryTimes(arrivals: readonly records.Arrival[]): number[] {
	const seen = new Set<string>();
	return [...arrivals].sort((first, second) => first.at - second.at).filter(({requestId}) => {
		const isRetry = seen.has(requestId);
		seen.add(requestId);
		return isRetry;
	}).map(({at}) => at);
}

/** Returns the allowed number of retries in the window that ends at a time; requests count in this window, the one before, or the one half a window before. */
function findAllowed({retryRatio, retrySlack, retryWindowMs}: records.Bounds, sentTimes: readonly number[], at: number): number {
	const requests = Math.max(...[0, retryWindowMs / 2, retryWindowMs].map(shiftMs => countWithin(sentTimes, at - shiftMs, retryWindowMs)));
	return (retryRatio * requests) + retrySlack;
}

function countWithin(times: readonly number[], end: number, windowMs: number): number {
	return times.filter(at => at > end - windowMs && at <= end).length;
}

import type * as records from './platform-records.js';

const millisecondsPerSecond = 1000;

/** Checks that servers execute no more requests of an account in any window than its quota and its tolerance allow; returns the findings. */
export function checkQuotas(record: records.PlatformRecord): records.Finding[] {
	const {quota} = record.bounds;
	if (quota === undefined) {
		return [];
	}

	const allowed = (((quota.requestsPerSecond * quota.windowMs / millisecondsPerSecond) + quota.burst) * (1 + quota.overshoot)) + quota.slack;
	const accounts = new Set(record.executions.map(({account}) => account).filter(account => account !== undefined));
	return [...accounts].flatMap(account => {
		const times = record.executions.filter(execution => execution.account === account).map(({arrivedAt}) => arrivedAt).sort((a, b) => a - b);
		const most = countMost(times, quota.windowMs);
		return most <= allowed ? [] : [{check: 'quotas', text: `${account}: ${most} requests were executed in ${quota.windowMs} ms, ${Math.floor(allowed)} are allowed`}];
	});
}

/** Returns the largest number of times within a window. */
function countMost(times: readonly number[], windowMs: number): number {
	let first = 0;
	let most = 0;
	for (const [index, at] of times.entries()) {
		while (times[first]! <= at - windowMs) {
			first += 1;
		}

		most = Math.max(most, index - first + 1);
	}

	return most;
}

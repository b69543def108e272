import * as calm from './calm.js';
import type * as records from './platform-records.js';

/** Ends of the engines of a model after which its requests with the crashing part are counted, and how many of them may arrive. */
const maxEnds = 5;
const maxArrivals = 3;

/**
 * Checks that requests with a part on which engines end reach engines no more than a few times, from gateways in touch, once the settle window
 * after the fifth end of engines of their model is over; returns the findings.
 */
export function checkCrashingParts(record: records.PlatformRecord): records.Finding[] {
	const gatewayById = new Map(record.exchanges.map(({requestId, gateway}) => [requestId, gateway]));
	const models = new Set(Object.values(record.models));
	return [...models].flatMap(model => {
		const ends = (record.crashes ?? []).filter(({server}) => record.models[server] === model).sort((a, b) => a.at - b.at);
		const fifth = ends[maxEnds - 1];
		const arrivals = fifth === undefined
			? []
			: record.executions.filter(({server, requestId, hasCrashingPart, arrivedAt}) => {
				const gateway = gatewayById.get(requestId);
				const isLate = hasCrashingPart && record.models[server] === model && arrivedAt > fifth.at + record.bounds.settleWindowMs;
				return isLate && gateway !== undefined && calm.isInTouch(record, gateway, fifth.at + record.bounds.settleWindowMs, arrivedAt);
			});
		return arrivals.length > maxArrivals
			? [{check: 'crashing parts', text: `${arrivals.length} requests with the part reached engines of ${model} after ${ends.length} had ended`}]
			: [];
	});
}

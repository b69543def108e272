import * as calm from './calm.js';
import type * as records from './platform-records.js';

/**
 * Checks that no stream starts on a replaced version later than the bound after a newer one was acknowledged. The time counts
 * in one stretch without disruption of the store or the links, and the gateway must have been in touch when it sent the request.
 */
export function checkVersions(record: records.PlatformRecord): records.Finding[] {
	const exchangesById = new Map(record.exchanges.map(exchange => [exchange.requestId, exchange]));
	const arrivals = new Map(record.executions.map(({server, requestId, arrivedAt}) => [`${server} ${requestId}`, arrivedAt]));
	return record.starts.flatMap(start => {
		const exchange = exchangesById.get(start.requestId);
		const replacedAt = findReplacedAt(record, start);
		const arrivedAt = arrivals.get(`${start.server} ${start.requestId}`) ?? start.at;
		if (exchange === undefined || replacedAt === undefined || !calm.isInTouch(record, exchange.gateway, arrivedAt, start.at)) {
			return [];
		}

		const ageMs = start.at - calm.findCalmStretchStart(record, replacedAt, start.at);
		return ageMs > record.bounds.versionMs
			? [{
				check: 'versions', requestId: start.requestId,
				text: `started on version ${start.version} at ${start.server} ${start.at - replacedAt} ms after a newer one was named; ${exchange.gateway} sent it ${start.at - arrivedAt} ms before`,
			}]
			: [];
	});
}

/** Returns when the first newer version of the model was acknowledged. */
function findReplacedAt(record: records.PlatformRecord, start: records.Start): number | undefined {
	const times = record.versions
		.filter(({model, version}) => model === record.models[start.server] && version > start.version)
		.map(({acknowledgedAt}) => acknowledgedAt);
	return times.length === 0 ? undefined : Math.min(...times);
}

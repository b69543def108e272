import * as calm from './calm.js';
import type * as records from './platform-records.js';

/** Checks that servers that leave get no request later than the bound after the store acknowledged it; returns the findings. */
export function checkDrains(record: records.PlatformRecord): records.Finding[] {
	const exchangesById = new Map(record.exchanges.map(exchange => [exchange.requestId, exchange]));
	return record.leavingPeriods
		.filter(({from}) => calm.isStoreCalm(record, from, from))
		.flatMap(period => record.executions
			.filter(({server, arrivedAt}) => server === period.server && arrivedAt > period.from + record.bounds.drainMs && arrivedAt < period.to)
			.filter(({requestId, arrivedAt}) => {
				const exchange = exchangesById.get(requestId);
				return exchange !== undefined && calm.isInTouch(record, exchange.gateway, Math.min(period.from, exchange.sentAt), arrivedAt);
			})
			.map(({requestId, arrivedAt}) => ({
				check: 'drains', requestId,
				text: `arrived at ${period.server} ${arrivedAt - period.from} ms after the store listed it as leaving`,
			})));
}

import type * as records from './platform-records.js';

/** Lists the configurations that may be in force for a request: the newest one that is older than the bound, and all later ones. */
export function listConfigsInForce(record: records.PlatformRecord, exchange: records.Exchange, boundMs: number): records.AcknowledgedConfig[] {
	const binding = record.configs.findLastIndex(config => config.acknowledgedAt + boundMs < exchange.sentAt);
	return record.configs.slice(Math.max(0, binding)).filter(config => config.acknowledgedAt <= exchange.endedAt);
}

/** Returns the shortest and the longest time that a request has, in milliseconds, by its deadline and the timeouts that may be in force. */
export function findTimeLimits(record: records.PlatformRecord, exchange: records.Exchange): {readonly minMs: number; readonly maxMs: number} {
	const timeoutsMs = listConfigsInForce(record, exchange, record.bounds.configPropagationMs)
		.map(config => config.timeoutsMs[exchange.route] ?? exchange.timeoutMs);
	return {
		minMs: Math.min(exchange.deadlineMs, exchange.timeoutMs, ...timeoutsMs),
		maxMs: Math.min(exchange.deadlineMs, Math.max(exchange.timeoutMs, ...timeoutsMs)),
	};
}

import * as calm from './calm.js';
import * as records from './platform-records.js';

/** Milliseconds after the deadline or the route's timeout within which a request has to end. */
const lateSlackMs = 500;
/** Milliseconds after SIGTERM during which requests that a server is still at work on near the end of the grace period are excused. */
const stopExcuseMs = 3000;
/** Number of lost responses that are allowed in a run. */
const maxLostResponses = 3;

/** Checks that gateways in touch keep no request waiting past its deadline or its route's timeout; returns the findings. */
export function checkDeadlines(record: records.PlatformRecord): records.Finding[] {
	return record.exchanges
		.filter(exchange => exchange.end !== records.ExchangeEnd.GaveUp && exchange.end !== records.ExchangeEnd.NotConnected)
		.map(exchange => ({exchange, lateMs: exchange.endedAt - exchange.sentAt - Math.min(exchange.deadlineMs, exchange.timeoutMs)}))
		.filter(({exchange, lateMs}) => lateMs > lateSlackMs && calm.isInTouch(record, exchange.gateway, exchange.sentAt, exchange.endedAt))
		.map(({exchange, lateMs}) => ({
			check: 'deadlines', requestId: exchange.requestId, text: `${exchange.gateway}: ${exchange.end} ${lateMs} ms after the deadline`,
		}));
}

/** Checks that planned stops interrupt no request, where no unplanned disruption explains it; returns the findings. */
export function checkPlannedStops(record: records.PlatformRecord): records.Finding[] {
	const executedIds = new Set(record.executions.map(({requestId}) => requestId));
	return record.plannedStops.flatMap(stop => record.exchanges
		.filter(exchange => exchange.gateway === stop.gateway && isInterrupted(exchange))
		.filter(({sentAt, endedAt}) => endedAt >= stop.at && sentAt <= stop.at + record.bounds.graceMs + 1000)
		.filter(exchange => executedIds.has(exchange.requestId) || exchange.endedAt - exchange.sentAt > record.bounds.lossSlackMs)
		.filter(exchange => !isExcused(record, exchange, stop))
		.map(exchange => ({
			check: 'planned stops', requestId: exchange.requestId,
			text: `${exchange.gateway}: ${exchange.end}, sent ${exchange.sentAt - stop.at} ms and ended ${exchange.endedAt - stop.at} ms after SIGTERM`,
		})));
}

/**
 * Checks that gateways in touch close no connection without a complete response to a request that a sound server executes, beyond a few;
 * returns the findings.
 */
export function checkLostResponses(record: records.PlatformRecord): records.Finding[] {
	const executedIds = new Set(record.executions.map(({requestId}) => requestId));
	const lost = record.exchanges
		.filter(exchange => isInterrupted(exchange) && executedIds.has(exchange.requestId))
		.filter(({sentAt, endedAt, deadlineMs, timeoutMs}) => endedAt < sentAt + Math.min(deadlineMs, timeoutMs))
		.filter(({gateway, sentAt, endedAt}) => calm.isInTouch(record, gateway, sentAt, endedAt)
			&& !calm.hasDisruption(record, sentAt, endedAt, ({target}) => target === records.DisruptionTarget.Server));
	return lost.length <= maxLostResponses
		? []
		: lost.map(exchange => ({
			check: 'lost responses', requestId: exchange.requestId, text: `${exchange.gateway}: ${exchange.end} after ${exchange.endedAt - exchange.sentAt} ms`,
		}));
}

function isInterrupted(exchange: records.Exchange): boolean {
	return exchange.end === records.ExchangeEnd.Truncated || exchange.end === records.ExchangeEnd.NoResponse;
}

function isExcused(record: records.PlatformRecord, exchange: records.Exchange, stop: records.PlannedStop): boolean {
	const isOutOfTime = exchange.endedAt >= exchange.sentAt + Math.min(exchange.deadlineMs, exchange.timeoutMs);
	const isAtEndOfGrace = exchange.endedAt >= stop.at + (record.bounds.graceMs * 5 / 6) && exchange.sentAt <= stop.at + stopExcuseMs;
	return isOutOfTime || isAtEndOfGrace
		|| calm.hasDisruption(record, exchange.sentAt, exchange.endedAt, ({isPlanned}) => !isPlanned);
}

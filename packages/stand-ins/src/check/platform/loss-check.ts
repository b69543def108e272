import * as calm from './calm.js';
import * as configsInForce from './configs-in-force.js';
import * as records from './platform-records.js';

/** Milliseconds after SIGTERM during which requests that a server is still at work on near the end of the grace period are excused. */
const stopExcuseMs = 3000;
/** Number of lost responses that are allowed in a run. */
const maxLostResponses = 3;
/** Milliseconds by which a change of the configuration lasts longer than it may take to be in force. */
const changeMarginMs = 1000;
/** Share of its time after which the loss of a request is not put down to a change of the configuration. */
const maxUsedShare = 0.7;
/** Statuses of a gateway that leave open whether the request was executed. */
const ownFailureStatuses = new Set([500, 502, 504]);

/** Checks that planned stops interrupt no request, where no unplanned disruption explains it; returns the findings. */
export function checkPlannedStops(record: records.PlatformRecord): records.Finding[] {
	const executedIds = new Set(record.executions.map(({requestId}) => requestId));
	return record.plannedStops.flatMap(stop => record.exchanges
		.filter(exchange => exchange.gateway === stop.gateway && isInterrupted(exchange))
		.filter(({sentAt, endedAt}) => endedAt >= stop.at && sentAt <= stop.at + record.bounds.graceMs + 1000)
		.filter(exchange => executedIds.has(exchange.requestId) || exchange.endedAt - exchange.sentAt > record.bounds.lossSlackMs)
		.filter(exchange => !isExcused(record, exchange) && !isAtEndOfGrace(record, exchange, stop))
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
		.filter(exchange => !isOutOfTime(record, exchange) && calm.isInTouchForLoss(record, exchange)
			&& !calm.hasDisruption(record, exchange.sentAt, exchange.endedAt, ({target}) => target === records.DisruptionTarget.Server));
	return lost.length <= maxLostResponses
		? []
		: lost.map(exchange => ({
			check: 'lost responses', requestId: exchange.requestId, text: `${exchange.gateway}: ${exchange.end} after ${exchange.endedAt - exchange.sentAt} ms`,
		}));
}

/**
 * Checks that requests around a change of the configuration, or of the settings of their gateway, get a complete response, if no unplanned
 * disruption explains that they do not; beside a configuration, a part of their time must have been left. A failure of the gateway itself,
 * which leaves open whether the request was executed, counts as no response; returns the findings.
 */
export function checkChangeLosses(record: records.PlatformRecord): records.Finding[] {
	const executedIds = new Set(record.executions.map(({requestId}) => requestId));
	return record.exchanges
		.filter(exchange => isInterrupted(exchange) || isOwnFailure(exchange))
		.filter(exchange => isBesideConfig(record, exchange) || isBesideReload(record, exchange))
		.filter(exchange => executedIds.has(exchange.requestId) || exchange.endedAt - exchange.sentAt > record.bounds.lossSlackMs)
		.filter(exchange => !isExcused(record, exchange))
		.filter(exchange => record.plannedStops.every(stop => stop.gateway !== exchange.gateway || !isAtEndOfGrace(record, exchange, stop)))
		.map(exchange => ({
			check: `${isInterrupted(exchange) ? 'losses' : 'failures'} beside ${isBesideConfig(record, exchange) ? 'configurations' : 'reloads'}`,
			requestId: exchange.requestId,
			text: `${exchange.gateway}: ${exchange.kind}, ${[exchange.end, exchange.status].join(' ').trim()} after ${exchange.endedAt - exchange.sentAt} ms`,
		}));
}

/**
 * Checks that a whole request is responded to or refused if its gateway was blocked while it was in progress: one that was sent on a kept
 * connection before the gateway resumed. A gateway that is stopped closes no connection, so that a request that ends well after the beginning
 * of the block was sent before its connection was closed. A stream may be cut when its time is over; returns the findings.
 */
export function checkBlocks(record: records.PlatformRecord): records.Finding[] {
	return record.exchanges.flatMap(exchange => {
		const block = (record.blocks ?? []).find(({gateway, from, to}) =>
			gateway === exchange.gateway && exchange.sentAt < to && exchange.endedAt > from + record.bounds.lossSlackMs);
		const isLost = exchange.end === records.ExchangeEnd.NoResponse
			|| (exchange.end === records.ExchangeEnd.Truncated && !isOutOfTime(record, exchange));
		const isExcused = calm.hasUnplannedDisruption(record, exchange)
			|| record.plannedStops.some(stop => stop.gateway === exchange.gateway && isAtEndOfGrace(record, exchange, stop));
		if (block === undefined || !exchange.isOnKeptConnection || !isLost || isExcused) {
			return [];
		}

		const times = `sent ${exchange.sentAt - block.from} ms and ended ${exchange.endedAt - block.from} ms after the beginning`;
		return [{
			check: 'losses beside blocks', requestId: exchange.requestId,
			text: `${exchange.gateway}: ${exchange.end}, ${times} of a block of ${block.to - block.from} ms`,
		}];
	});
}

/** Returns whether a configuration may have come into force while a request with time left was in progress. */
function isBesideConfig(record: records.PlatformRecord, exchange: records.Exchange): boolean {
	const {sentAt, endedAt} = exchange;
	return endedAt - sentAt < configsInForce.findTimeLimits(record, exchange).minMs * maxUsedShare
		&& record.configs.some(config =>
			sentAt <= config.acknowledgedAt + record.bounds.configPropagationMs + changeMarginMs && endedAt >= config.sentAt);
}

/** Returns whether the settings of the gateway of a request changed before its end, and not long before it was sent. */
function isBesideReload(record: records.PlatformRecord, {gateway, sentAt, endedAt}: records.Exchange): boolean {
	return (record.reloads ?? []).some(reload =>
		reload.gateway === gateway && sentAt <= reload.at + record.bounds.configPropagationMs && endedAt >= reload.at);
}

/** Returns whether a complete response is an error of the gateway itself that leaves the execution state open. */
function isOwnFailure({end, status, signature}: records.Exchange): boolean {
	return end === records.ExchangeEnd.Complete && signature === undefined && ownFailureStatuses.has(status ?? 0);
}

function isInterrupted(exchange: records.Exchange): boolean {
	return exchange.end === records.ExchangeEnd.Truncated || exchange.end === records.ExchangeEnd.NoResponse;
}

/** Returns whether the time of a request was over, or an unplanned disruption may explain its end. */
function isExcused(record: records.PlatformRecord, exchange: records.Exchange): boolean {
	return isOutOfTime(record, exchange) || calm.hasUnplannedDisruption(record, exchange);
}

function isOutOfTime(record: records.PlatformRecord, exchange: records.Exchange): boolean {
	return exchange.endedAt >= exchange.sentAt + configsInForce.findTimeLimits(record, exchange).minMs;
}

function isAtEndOfGrace(record: records.PlatformRecord, exchange: records.Exchange, stop: records.PlannedStop): boolean {
	return exchange.endedAt >= stop.at + (record.bounds.graceMs * 5 / 6) && exchange.sentAt <= stop.at + stopExcuseMs;
}

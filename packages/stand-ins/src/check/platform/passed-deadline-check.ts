import * as calm from './calm.js';
import type * as records from './platform-records.js';

/** Milliseconds by which a deadline that a server receives may exceed the client's or end after the one that was sent first. */
const slackMs = 500;
/** Number and share of requests that may be passed on with a later deadline. */
const maxLate = 20;
const maxLateShare = 0.2;

/** Checks that servers are not given more time than the client has left, beyond a few requests; returns the findings. */
export function checkPassedDeadlines(record: records.PlatformRecord): records.Finding[] {
	const exchangesById = new Map(record.exchanges.map(exchange => [exchange.requestId, exchange]));
	const firstById = new Map<string, records.Execution>();
	for (const execution of record.executions) {
		const first = firstById.get(execution.requestId);
		firstById.set(execution.requestId, first !== undefined && first.arrivedAt <= execution.arrivedAt ? first : execution);
	}

	const late = record.executions.filter(execution => {
		const exchange = exchangesById.get(execution.requestId);
		return exchange !== undefined && isLate(execution, exchange, firstById.get(execution.requestId)!)
			&& calm.isInTouch(record, exchange.gateway, exchange.sentAt, execution.arrivedAt);
	});
	return late.length <= Math.max(maxLate, record.executions.length * maxLateShare)
		? []
		: late.map(({requestId, server, deadlineMs}) => ({
			check: 'passed deadlines', requestId, text: `${server} received the deadline ${deadlineMs} ms, which ends after the client's`,
		}));
}

function isLate(execution: records.Execution, exchange: records.Exchange, first: records.Execution): boolean {
	if (execution.deadlineMs === undefined || execution.deadlineMs > exchange.deadlineMs + slackMs) {
		return true;
	}

	const isRepeat = execution.arrivedAt > first.arrivedAt + slackMs;
	return isRepeat && execution.arrivedAt + execution.deadlineMs > first.arrivedAt + (first.deadlineMs ?? 0) + slackMs;
}

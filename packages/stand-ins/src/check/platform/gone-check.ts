import * as calm from './calm.js';
import * as records from './platform-records.js';

const check = 'clients that left';
/** Milliseconds after a client has closed its connection within which its request has to end everywhere. */
const endSlackMs = 500;
/** Number of requests that may reach a server later, and number and share of those that a server may still work on. */
const maxLateArrivals = 3;
const maxOpen = 3;
const maxOpenShare = 0.25;

/**
 * Checks that requests of clients that have closed their connections reach no server later, beyond a few, and that servers no longer work on
 * most of those that may be interrupted; returns the findings.
 */
export function checkGone(record: records.PlatformRecord): records.Finding[] {
	const leftById = new Map(record.exchanges
		.filter(exchange => exchange.end === records.ExchangeEnd.GaveUp
			&& calm.isInTouch(record, exchange.gateway, exchange.sentAt, exchange.endedAt + endSlackMs))
		.map(exchange => [exchange.requestId, exchange]));
	const executions = record.executions.flatMap(execution => {
		const exchange = leftById.get(execution.requestId);
		return exchange === undefined ? [] : [{execution, exchange, boundAt: exchange.endedAt + endSlackMs}];
	});
	const late = executions.filter(({execution, boundAt}) => execution.arrivedAt > boundAt);
	const long = executions.filter(({execution, exchange, boundAt}) => exchange.kind !== records.RequestKind.Unsafe
		&& execution.arrivedAt <= boundAt && record.endedAt > boundAt && Math.max(execution.expectedEndAt ?? 0, execution.endedAt ?? Infinity) > boundAt);
	const open = long.filter(({execution, boundAt}) => (execution.endedAt ?? Infinity) > boundAt);
	const lateFindings = late.map(({execution, exchange}) => ({
		check, requestId: exchange.requestId,
		text: `${exchange.gateway}: arrived at ${execution.server} ${execution.arrivedAt - exchange.endedAt} ms after its client had left`,
	}));
	const openFindings = open.map(({execution, exchange}) => ({
		check, requestId: exchange.requestId,
		text: `${exchange.gateway}: ${execution.server} still worked on a ${exchange.kind} request ${endSlackMs} ms after its client had left`,
	}));
	return [
		...(late.length > maxLateArrivals ? lateFindings : []),
		...(open.length > Math.max(maxOpen, long.length * maxOpenShare) ? openFindings : []),
	];
}

import * as calm from './calm.js';
import * as configsInForce from './configs-in-force.js';
import * as records from './platform-records.js';

/** Milliseconds after the deadline or the route's timeout within which a request has to end. */
const lateSlackMs = 500;

/** Checks that gateways in touch keep no request waiting past its deadline or its route's timeout; returns the findings. */
export function checkDeadlines(record: records.PlatformRecord): records.Finding[] {
	return record.exchanges
		.filter(exchange => exchange.end !== records.ExchangeEnd.GaveUp && exchange.end !== records.ExchangeEnd.NotConnected)
		.map(exchange => ({exchange, lateMs: exchange.endedAt - exchange.sentAt - configsInForce.findTimeLimits(record, exchange).maxMs}))
		.filter(({exchange, lateMs}) => lateMs > lateSlackMs && calm.isInTouch(record, exchange.gateway, exchange.sentAt, exchange.endedAt))
		.map(({exchange, lateMs}) => ({
			check: 'deadlines', requestId: exchange.requestId, text: `${exchange.gateway}: ${exchange.end} ${lateMs} ms after the deadline`,
		}));
}

import type * as load from '../load/index.js';
import type * as faultInjector from './fault-injector.js';

/** Milliseconds by which the ends of an outage are taken more widely. */
const outageMarginMs = 300;

/** Finds requests that were left without an answer although their router was there all the time. */
export function checkLostCalls(lost: readonly load.LostCall[], outages: readonly faultInjector.RouterOutage[]): string[] {
	return lost
		.filter(call => !outages.some(outage => overlaps(call, outage)))
		.map(call => `${call.request} was left without an answer by ${call.target}: ${call.detail}`);
}

function overlaps(call: load.LostCall, outage: faultInjector.RouterOutage): boolean {
	return call.target === outage.target
		&& call.sentAt <= outage.to + outageMarginMs
		&& call.endedAt >= outage.from - outageMarginMs;
}

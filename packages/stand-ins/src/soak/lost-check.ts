import type * as load from '../load/index.js';
import type * as faultInjector from './fault-injector.js';

/** Milliseconds by which an outage is extended at both ends when it is compared with a request. */
const outageMarginMs = 300;

/** Reports lost requests that do not overlap with an outage of their router; returns the findings. */
export function checkLostCalls(lost: readonly load.LostCall[], outages: readonly faultInjector.RouterOutage[]): string[] {
	return lost
		.filter(call => !outages.some(outage => overlaps(call, outage)))
		.map(call => `${call.request} got no complete response from ${call.target}: ${call.detail}`);
}

function overlaps(call: load.LostCall, outage: faultInjector.RouterOutage): boolean {
	return call.target === outage.target
		&& call.sentAt <= outage.to + outageMarginMs
		&& call.endedAt >= outage.from - outageMarginMs;
}

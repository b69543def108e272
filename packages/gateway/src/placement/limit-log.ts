import type * as core from '@bluebellmast/core';
import * as eventLog from '../util/event-log.js';

/** Logs how the limits of endpoints have changed since the last call. */
export function writeLimitChanges(limits: core.limits.RequestLimits, log: eventLog.EventLog): void {
	for (const {endpoint, text} of limits.takeInvalid()) {
		log.write(eventLog.LogEvent.EndpointLimitInvalid, {endpoint, text});
	}

	for (const {endpoint, requestsPerSecond, limitedMs, isReplaced, isFromPeer, sends} of limits.takeChanges()) {
		if (requestsPerSecond === undefined) {
			log.write(eventLog.LogEvent.EndpointLimitEnded, {
				endpoint, limitedMs: Math.round(limitedMs), isReplaced, sends,
			});
		} else {
			log.write(eventLog.LogEvent.EndpointLimited, {
				endpoint, requestsPerSecond, isFromPeer, sends,
			});
		}
	}
}

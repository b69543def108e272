import type * as core from '@bluebellmast/core';
import * as eventLog from '../util/event-log.js';

/**
 * Logs how the estimated ages of named versions have changed since the last call.
 *
 * @param now - Milliseconds of the clock that includes suspensions.
 */
export function writeNamingChanges(targets: core.rollout.WeightTargets, log: eventLog.EventLog, now: number): void {
	for (const {model, version, at, source, interval} of targets.takeChanges()) {
		log.write(eventLog.LogEvent.WeightTargetDated, {
			model,
			version,
			ageMs: Math.round(now - at),
			source,
			minAgeMs: Math.round(now - interval.before),
			maxAgeMs: interval.after === -Infinity ? undefined : Math.round(now - interval.after),
		});
	}
}

import type * as core from '@bluebellmast/core';
import type * as clocks from '../util/clocks.js';
import * as eventLog from '../util/event-log.js';
import type * as fleetState from './fleet-state.js';

/** Dependencies of {@link LeavingRecorder}. */
export type LeavingRecorderDependencies = {
	readonly fleet: fleetState.FleetState;
	readonly clock: clocks.Clocks;
	readonly log: eventLog.EventLog;
	/** Called after the first notice of an incarnation, to report it to the other VMs. */
	readonly onFirstNotice: () => void;
};

/** Records the notices of endpoints that they are leaving, whichever kind of response carried them. */
export class LeavingRecorder {
	constructor(private readonly dependencies: LeavingRecorderDependencies) {}

	/** Records a notice of an incarnation; only the first one has an effect. */
	record(endpoint: core.fleet.EndpointIncarnation): void {
		const {fleet, clock, log, onFirstNotice} = this.dependencies;
		if (fleet.leaving.recordNotice(endpoint, clock.suspendAwareNow())) {
			log.write(eventLog.LogEvent.EndpointLeaving, {endpoint: endpoint.id, bornAt: endpoint.bornAt});
			onFirstNotice();
		}
	}
}

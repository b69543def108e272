import type * as clients from '@bluebellmast/kv';
import * as eventLog from '../util/event-log.js';
import type * as coordinationController from './coordination-controller.js';
import type * as leaseController from './lease-controller.js';

/** Dependencies of an {@link EraListener}. */
export type EraListenerDependencies = {
	readonly coordination: coordinationController.CoordinationController;
	readonly leaseController: leaseController.LeaseController;
	readonly log: eventLog.EventLog;
};

/** Logs what responses tell about the era of the store, and has this VM give up what it held in an earlier one. */
export class EraListener implements clients.kv.KvEraListener {
	constructor(private readonly dependencies: EraListenerDependencies) {}

	onEra(era: number, previous: number | undefined): void {
		const {coordination, leaseController, log} = this.dependencies;
		if (previous !== undefined) {
			log.write(eventLog.LogEvent.StoreReturned, {era, previous});
			coordination.handleReturn(era);
		}

		leaseController.handleEra(previous);
	}

	onUnusableEra(text: string | undefined): void {
		this.dependencies.log.write(eventLog.LogEvent.StoreEraUnusable, {text});
	}
}

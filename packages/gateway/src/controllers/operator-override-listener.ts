import type * as core from '@bluebellmast/core';
import type * as clients from '@bluebellmast/kv';
import type * as clocks from '../util/clocks.js';
import * as eventLog from '../util/event-log.js';
import * as coordinationKeys from './coordination-keys.js';
import * as operatorOverridesCodec from './operator-overrides-codec.js';
import type * as quarantineController from './quarantine-controller.js';
import type * as storeFeed from './store-feed.js';

/** Dependencies of an {@link OperatorOverrideListener}. */
export type OperatorOverrideListenerDependencies = {
	readonly quarantine: Pick<quarantineController.QuarantineController, 'applyOperatorOverride'>;
	readonly clock: clocks.Clocks;
	readonly log: eventLog.EventLog;
};

/**
 * Applies the overrides of operators on prompt parts, which only operators write. An override holds until it ends or a later one on its part replaces it;
 * one that is missing from the store has not been taken back.
 */
export class OperatorOverrideListener implements storeFeed.StoreFeedListener {
	constructor(private readonly dependencies: OperatorOverrideListenerDependencies) {}

	onSnapshot(entries: readonly clients.kv.KvEntry[], context: storeFeed.ReadContext): void {
		const entry = entries.find(({key}) => key === coordinationKeys.operatorOverridesKey);
		if (entry !== undefined) {
			this.#apply(entry, context);
		}
	}

	onChange({key, entry}: clients.kv.KvChange, context: storeFeed.ReadContext): void {
		if (entry !== undefined && key === coordinationKeys.operatorOverridesKey) {
			this.#apply(entry, context);
		}
	}

	#apply({key, value}: clients.kv.KvEntry, {changed}: storeFeed.ReadContext): void {
		const {quarantine, clock, log} = this.dependencies;
		const decoded = operatorOverridesCodec.decodeOperatorOverrides(value);
		decoded.ifLeft(findings => {
			log.write(eventLog.LogEvent.StoreEntryInvalid, {key, findings: findings.join('; ')});
		});
		const reading: core.quarantine.OverrideReading = {changed, now: clock.suspendAwareNow(), wallNow: clock.wallNow()};
		decoded.ifRight(overrides => {
			for (const override of overrides) {
				quarantine.applyOperatorOverride(override, reading);
			}
		});
	}
}

import type * as core from '@bluebellmast/core';
import type * as clients from '@bluebellmast/kv';
import type * as clocks from '../util/clocks.js';
import * as eventLog from '../util/event-log.js';
import * as coordinationKeys from './coordination-keys.js';
import * as operatorWordsCodec from './operator-words-codec.js';
import type * as quarantineController from './quarantine-controller.js';
import type * as storeFeed from './store-feed.js';

/** Dependencies of an {@link OperatorWordListener}. */
export type OperatorWordListenerDependencies = {
	readonly quarantine: Pick<quarantineController.QuarantineController, 'applyOperatorWord'>;
	readonly clock: clocks.Clocks;
	readonly log: eventLog.EventLog;
};

/**
 * Applies the words of operators on prompt parts, which only operators write. A word holds until it ends or a later one on its part replaces it;
 * one that is missing from the store has not been taken back.
 */
export class OperatorWordListener implements storeFeed.StoreFeedListener {
	constructor(private readonly dependencies: OperatorWordListenerDependencies) {}

	onSnapshot(entries: readonly clients.kv.KvEntry[], context: storeFeed.ReadContext): void {
		const entry = entries.find(({key}) => key === coordinationKeys.operatorWordsKey);
		if (entry !== undefined) {
			this.#apply(entry, context);
		}
	}

	onChange({key, entry}: clients.kv.KvChange, context: storeFeed.ReadContext): void {
		if (entry !== undefined && key === coordinationKeys.operatorWordsKey) {
			this.#apply(entry, context);
		}
	}

	#apply({key, value}: clients.kv.KvEntry, {changed}: storeFeed.ReadContext): void {
		const {quarantine, clock, log} = this.dependencies;
		const decoded = operatorWordsCodec.decodeOperatorWords(value);
		decoded.ifLeft(findings => {
			log.write(eventLog.LogEvent.StoreEntryInvalid, {key, findings: findings.join('; ')});
		});
		const reading: core.quarantine.WordReading = {changed, now: clock.suspendAwareNow(), wallNow: clock.wallNow()};
		decoded.ifRight(words => {
			for (const word of words) {
				quarantine.applyOperatorWord(word, reading);
			}
		});
	}
}

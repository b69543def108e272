import * as eventLog from '../util/event-log.js';

/** Number of entries that are remembered; the lines of others are dropped until one of these is valid or removed. */
const maxEntries = 1000;
/** Longest text of the findings of an entry. */
const maxFindingsLength = 500;

/** Logs the findings of invalid store entries: one line an entry until the findings change, however often it is written. */
export class InvalidEntryLog {
	readonly #findingsByKey = new Map<string, string>();

	constructor(private readonly log: eventLog.EventLog) {}

	/** Records that an entry is invalid. */
	recordInvalid(key: string, findings: readonly string[]): void {
		const text = findings.join('; ').slice(0, maxFindingsLength);
		const isKnown = this.#findingsByKey.has(key);
		if (this.#findingsByKey.get(key) === text || (!isKnown && this.#findingsByKey.size >= maxEntries)) {
			return;
		}

		this.#findingsByKey.set(key, text);
		this.log.write(eventLog.LogEvent.StoreEntryInvalid, {key, findings: text});
	}

	/** Records that an entry is valid or was removed. */
	forget(key: string): void {
		this.#findingsByKey.delete(key);
	}
}

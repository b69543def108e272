import * as fs from 'node:fs';

/** Keeps the records of a stand-in; with a file they survive a crash. */
export class Recorder<Entry> {
	readonly #entries: Entry[] = [];

	/**
	 * @param file - Path of a file to which one JSON line per record is appended; absent to keep records only in memory.
	 */
	constructor(private readonly file?: string) {}

	/** Adds a record; it is in the file when the call returns. */
	add(entry: Entry): void {
		this.#entries.push(entry);
		if (this.file !== undefined) {
			fs.appendFileSync(this.file, `${JSON.stringify(entry)}\n`);
		}
	}

	/** Returns the records that this process added. */
	list(): readonly Entry[] {
		return this.#entries;
	}
}

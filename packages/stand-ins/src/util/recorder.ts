import * as fs from 'node:fs';

/** Keeps what a stand-in carried out; with a file the records outlive a crash. */
export class Recorder<Entry> {
	readonly #entries: Entry[] = [];

	/**
	 * @param file - Path of a file that gets one JSON line per record; absent: memory only.
	 */
	constructor(private readonly file?: string) {}

	/** Adds a record before the caller goes on. */
	add(entry: Entry): void {
		this.#entries.push(entry);
		if (this.file !== undefined) {
			fs.appendFileSync(this.file, `${JSON.stringify(entry)}\n`);
		}
	}

	/** Returns the records of this process. */
	list(): readonly Entry[] {
		return this.#entries;
	}
}

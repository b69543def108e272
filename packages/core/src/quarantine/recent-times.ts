/** The last times of a bounded number of keys; the key that was updated the longest ago is dropped first. */
export class RecentTimes {
	readonly #times = new Map<string, number>();

	/** @param maxKeys - Largest number of keys. */
	constructor(private readonly maxKeys: number) {}

	/** Number of keys. */
	get size(): number {
		return this.#times.size;
	}

	/** Records a time; an earlier one than the last is ignored. @returns Whether it is the latest of its key. */
	record(key: string, at: number): boolean {
		const last = this.last(key);
		if (at <= last) {
			return false;
		}

		this.#times.delete(key);
		this.#times.set(key, at);
		if (this.#times.size > this.maxKeys) {
			const [oldest] = this.#times.keys();
			this.#times.delete(oldest!);
		}

		return true;
	}

	/** Returns the last time of a key; `-Infinity` if none is known. */
	last(key: string): number {
		return this.#times.get(key) ?? -Infinity;
	}
}

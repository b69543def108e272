/** Size up to which a body is small, in bytes. */
const smallBodyBytes = 65_536;
/** Memory that small bodies may use, relative to that of the others, so that a few large bodies don't exclude them. */
const smallBodyFactor = 2;

/** Memory for the bodies of all requests together, which are kept until their requests have ended. */
export class BodyMemory {
	#usedBytes = 0;

	/** @param maxBytes - Size of all bodies together; a single one may be larger, and small ones may use twice as much. */
	constructor(private readonly maxBytes = Infinity) {}

	/**
	 * Takes memory for a body or a part of one. @returns Whether there was enough; otherwise none was taken.
	 *
	 * @param bodyBytes - Size of the body, as far as it is known.
	 */
	take(bytes: number, bodyBytes: number): boolean {
		const maxBytes = bodyBytes <= smallBodyBytes ? smallBodyFactor * this.maxBytes : this.maxBytes;
		if (this.#usedBytes > 0 && this.#usedBytes + bytes > maxBytes) {
			return false;
		}

		this.#usedBytes += bytes;
		return true;
	}

	release(bytes: number): void {
		this.#usedBytes -= bytes;
	}
}

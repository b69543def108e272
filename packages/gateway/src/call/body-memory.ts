/** Size up to which a body is small, in bytes. */
const smallBodyBytes = 65_536;
/** Memory that small bodies may use, relative to that of the others, so that a few large bodies don't exclude them. */
const smallBodyFactor = 2;
/** Age from which on a body that is still arriving may be evicted, in milliseconds. */
const minEvictionAgeMs = 500;
/** Half-life of the progress of a body, in milliseconds. */
const progressHalfLifeMs = 500;
/** Factor by which the memory of another account must be larger for its bodies to be evicted before they have that age. */
const largerAccountFactor = 2;

/** A body that is to be kept in memory. */
export type BodyOptions = {
	/** Account whose body it is; empty for requests without a key. */
	readonly account: string;
	/** Present time in milliseconds of a monotonic clock. */
	readonly now: number;
	/** Called when the body was evicted while it was arriving; its memory has been released. */
	readonly onEvicted: () => void;
};

/** Memory of one body. */
export class BodyReservation {
	/** Memory in bytes. */
	bytes = 0;
	isArriving = true;
	readonly #startedAt: number;
	#progressBytes = 0;
	#progressAt: number;

	constructor(private readonly memory: BodyMemory, readonly options: BodyOptions) {
		this.#startedAt = options.now;
		this.#progressAt = options.now;
	}

	/** Takes memory for what has arrived. @returns Whether there was enough, if need be after bodies that arrive more slowly were evicted; otherwise none was taken. */
	grow(bytes: number, now: number): boolean {
		if (!this.memory.take(this, bytes, now)) {
			return false;
		}

		this.#progressBytes = this.getProgress(now) + bytes;
		this.#progressAt = now;
		return true;
	}

	/** Marks the body as complete, so that it is no longer evicted. */
	complete(): void {
		this.isArriving = false;
		this.memory.complete(this);
	}

	/** Releases the memory; may be called more than once. */
	release(): void {
		this.memory.release(this);
	}

	/** Returns the bytes that have arrived, weighted by how recently. */
	getProgress(now: number): number {
		return this.#progressBytes * (0.5 ** ((now - this.#progressAt) / progressHalfLifeMs));
	}

	/** Returns how long ago the body began, in milliseconds. */
	getAgeMs(now: number): number {
		return now - this.#startedAt;
	}
}

/**
 * Memory for the bodies of all requests together, which are kept until their requests have ended. When it is used up, the bodies are evicted that arrive most slowly, so that callers
 * that send a part of a body and stop don't exclude others.
 */
export class BodyMemory {
	#usedBytes = 0;
	/** Part of it for bodies that are still arriving. */
	#arrivingBytes = 0;
	readonly #arriving = new Set<BodyReservation>();
	readonly #bytesByAccount = new Map<string, number>();

	/** @param maxBytes - Size of all bodies together; a single one may be larger, and small ones may use twice as much. */
	constructor(readonly maxBytes = Infinity) {}

	/** Memory of all bodies in bytes. */
	get usedBytes(): number {
		return this.#usedBytes;
	}

	/** Begins a body. */
	open(options: BodyOptions): BodyReservation {
		return new BodyReservation(this, options);
	}

	/** Whether a body of the given size finds memory beside the complete ones, which are not evicted. */
	fits(bytes: number): boolean {
		return this.#isAllowed(this.#usedBytes - this.#arrivingBytes, bytes, bytes);
	}

	/** Takes memory; for {@link BodyReservation.grow}. */
	take(body: BodyReservation, bytes: number, now: number): boolean {
		while (!this.#isAllowed(this.#usedBytes, bytes, body.bytes + bytes)) {
			const slowest = this.#findSlowest(body, now);
			if (slowest === undefined) {
				return false;
			}

			slowest.release();
			slowest.options.onEvicted();
		}

		const {account} = body.options;
		this.#usedBytes += bytes;
		this.#bytesByAccount.set(account, this.#getAccountBytes(account) + bytes);
		body.bytes += bytes;
		if (body.isArriving) {
			this.#arriving.add(body);
			this.#arrivingBytes += bytes;
		}

		return true;
	}

	/** Releases the memory of a body; for {@link BodyReservation.release}. */
	release(body: BodyReservation): void {
		const {account} = body.options;
		const accountBytes = this.#getAccountBytes(account) - body.bytes;
		this.complete(body);
		this.#usedBytes -= body.bytes;
		body.bytes = 0;
		if (accountBytes > 0) {
			this.#bytesByAccount.set(account, accountBytes);
		} else {
			this.#bytesByAccount.delete(account);
		}
	}

	/** Marks a body as complete; for {@link BodyReservation.complete}. */
	complete(body: BodyReservation): void {
		if (this.#arriving.delete(body)) {
			this.#arrivingBytes -= body.bytes;
		}
	}

	#isAllowed(usedBytes: number, bytes: number, bodyBytes: number): boolean {
		const maxBytes = bodyBytes <= smallBodyBytes ? smallBodyFactor * this.maxBytes : this.maxBytes;
		return usedBytes === 0 || usedBytes + bytes <= maxBytes;
	}

	#getAccountBytes(account: string): number {
		return this.#bytesByAccount.get(account) ?? 0;
	}

	/** Finds the body to evict for another one: the one whose progress is least, relative to the memory of its account. */
	#findSlowest(body: BodyReservation, now: number): BodyReservation | undefined {
		const ownBytes = this.#getAccountBytes(body.options.account);
		let slowest: BodyReservation | undefined;
		let leastProgress = Infinity;
		for (const other of this.#arriving) {
			const accountBytes = this.#getAccountBytes(other.options.account);
			const isEvictable = other.getAgeMs(now) >= minEvictionAgeMs || accountBytes > largerAccountFactor * ownBytes;
			const progress = other.getProgress(now) / accountBytes;
			if (isEvictable && progress < leastProgress) {
				slowest = other;
				leastProgress = progress;
			}
		}

		return slowest === body ? undefined : slowest;
	}
}

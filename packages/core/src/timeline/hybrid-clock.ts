/** Timestamp of a hybrid logical clock, which orders events of processes whose clocks differ slightly. */
export type HybridTimestamp = {
	/** Milliseconds since the Unix epoch; never less than that of any earlier timestamp of the clock. */
	readonly at: number;
	/** Orders timestamps within the same millisecond. */
	readonly counter: number;
};

/** The initial timestamp, which precedes all others. */
export const zeroTimestamp: HybridTimestamp = {at: 0, counter: 0};

/** Returns the timestamp of a local event: later than `last` and not earlier than `now`. */
export function advanceTimestamp(last: HybridTimestamp, now: number): HybridTimestamp {
	if (now > last.at) {
		return {at: now, counter: 0};
	}

	return {at: last.at, counter: last.counter + 1};
}

/**
 * Returns the timestamp for the receipt of a message: later than the last local timestamp and than the sender's.
 *
 * @param maxDriftMs - A remote timestamp further ahead of `now` is ignored, so that one wrong clock does not advance all others.
 */
export function mergeRemoteTimestamp(last: HybridTimestamp, remote: HybridTimestamp, now: number, maxDriftMs: number): HybridTimestamp {
	const isRemoteAhead = compareTimestamps(remote, last) > 0;
	if (!isRemoteAhead || remote.at - now > maxDriftMs) {
		return advanceTimestamp(last, now);
	}

	return advanceTimestamp(remote, now);
}

/** Compares two timestamps; negative when `left` is earlier. */
export function compareTimestamps(left: HybridTimestamp, right: HybridTimestamp): number {
	return left.at - right.at || left.counter - right.counter;
}

/** A hybrid logical clock stamp: orders events over processes whose clocks differ a little. */
export type HybridTimestamp = {
	/** Milliseconds since the Unix epoch, never behind any stamp seen. */
	readonly at: number;
	/** Orders stamps of the same millisecond. */
	readonly counter: number;
};

/** Stamp before all others. */
export const zeroTimestamp: HybridTimestamp = {at: 0, counter: 0};

/** Returns the stamp of a local event: after `last`, and not before `now`. */
export function advanceTimestamp(last: HybridTimestamp, now: number): HybridTimestamp {
	if (now > last.at) {
		return {at: now, counter: 0};
	}

	return {at: last.at, counter: last.counter + 1};
}

/**
 * Returns the stamp of the receipt of a message: after both the own last stamp and the sender's.
 *
 * @param maxDriftMs - A remote stamp further ahead of `now` than this is not followed, so that one wrong clock does not move all.
 */
export function mergeRemoteTimestamp(last: HybridTimestamp, remote: HybridTimestamp, now: number, maxDriftMs: number): HybridTimestamp {
	const ahead = compareTimestamps(remote, last) > 0;
	if (!ahead || remote.at - now > maxDriftMs) {
		return advanceTimestamp(last, now);
	}

	return advanceTimestamp(remote, now);
}

/** Orders two stamps: negative when `left` is earlier. */
export function compareTimestamps(left: HybridTimestamp, right: HybridTimestamp): number {
	return left.at - right.at || left.counter - right.counter;
}

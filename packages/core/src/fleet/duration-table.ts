/** End of the first interval of durations, in milliseconds; each further interval ends at twice the time of the one before. */
const firstIntervalMs = 125;
/** Number of intervals; the last one has no end. */
const intervalCount = 16;
/** Share of the weight of earlier durations that remains when one is recorded, so that changes are learned. */
const retainedShare = 0.95;

/** Assumption of a {@link DurationTable} that has no records. */
export type DurationPrior = {
	/** Chance that a state ends before its duration has doubled. */
	readonly endChance: number;
	/** Number of records that the assumption outweighs. */
	readonly weight: number;
};

/** Without knowledge, a state that has lasted for some time is as likely to end within the same time again as it is not. */
export const defaultDurationPrior: DurationPrior = {endChance: 0.5, weight: 1};

/** Learns how long a state lasts, as a life table: the chance of its end in each interval of its duration. Its size is fixed. */
export class DurationTable {
	/** Weight of the states that lasted to the end of an interval or ended in it, by interval. */
	readonly #exposed = Array.from({length: intervalCount}, () => 0);
	/** Weight of the states that ended in an interval, by interval. */
	readonly #ended = Array.from({length: intervalCount}, () => 0);

	constructor(private readonly prior: DurationPrior = defaultDurationPrior) {}

	/**
	 * Records a duration in milliseconds.
	 *
	 * @param hasEnded - Whether the state ended then; otherwise it lasted at least as long.
	 */
	record(durationMs: number, hasEnded: boolean): void {
		const last = findInterval(durationMs);
		for (let interval = 0; interval < intervalCount; interval++) {
			const isExposed = interval < last || (interval === last && hasEnded);
			this.#exposed[interval] = (this.#exposed[interval]! * retainedShare) + (isExposed ? 1 : 0);
			this.#ended[interval] = (this.#ended[interval]! * retainedShare) + (interval === last && hasEnded ? 1 : 0);
		}
	}

	/** Returns the chance that a state that has lasted for some time ends within a further time, both in milliseconds. */
	chanceOfEnd(elapsedMs: number, withinMs: number): number {
		const endsAt = elapsedMs + Math.max(0, withinMs);
		let survival = 1;
		for (let interval = findInterval(elapsedMs); interval < intervalCount; interval++) {
			const [from, to] = boundsOf(interval);
			const share = (Math.min(to, endsAt) - Math.max(from, elapsedMs)) / (to - from);
			if (share <= 0) {
				break;
			}

			survival *= (1 - this.#endChance(interval)) ** share;
		}

		return 1 - survival;
	}

	/** Returns the time within which a state that has lasted for some time ends with a chance of one half, in milliseconds. */
	medianRemainingMs(elapsedMs: number): number {
		let remaining = Math.log(0.5);
		for (let interval = findInterval(elapsedMs); interval < intervalCount; interval++) {
			const [from, to] = boundsOf(interval);
			const begin = Math.max(from, elapsedMs);
			const perMs = Math.log(1 - this.#endChance(interval)) / (to - from);
			const neededMs = remaining / perMs;
			if (begin + neededMs <= to) {
				return begin + neededMs - elapsedMs;
			}

			remaining -= perMs * (to - begin);
		}

		return Infinity;
	}

	#endChance(interval: number): number {
		const {endChance, weight} = this.prior;
		return (this.#ended[interval]! + (endChance * weight)) / (this.#exposed[interval]! + weight);
	}
}

/** Returns the index of the interval that contains a duration. */
function findInterval(durationMs: number): number {
	const index = durationMs < firstIntervalMs ? 0 : 1 + Math.floor(Math.log2(durationMs / firstIntervalMs));
	return Math.min(index, intervalCount - 1);
}

/** Returns the start and the end of an interval, in milliseconds. */
function boundsOf(interval: number): readonly [number, number] {
	return interval === 0
		? [0, firstIntervalMs]
		: [firstIntervalMs * (2 ** (interval - 1)), firstIntervalMs * (2 ** interval)];
}

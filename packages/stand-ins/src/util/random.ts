import * as uniformFloat64 from 'pure-rand/distribution/uniformFloat64';
import * as uniformInt from 'pure-rand/distribution/uniformInt';
import type * as generator from 'pure-rand/types/RandomGenerator';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';
import * as skip from 'pure-rand/utils/skipN';

/** Number of draws that are discarded at the start, since the first ones after a small seed are not uniform. */
const discardedDraws = 64;

/** Seeded pseudorandom number generator. */
export class Random {
	readonly #generator: generator.RandomGenerator;

	constructor(seed: number) {
		this.#generator = xoroshiro.xoroshiro128plus(seed);
		skip.skipN(this.#generator, discardedDraws);
	}

	/** Returns an integer from `min` to `max`, inclusive. */
	integer(min: number, max: number): number {
		return uniformInt.uniformInt(this.#generator, min, max);
	}

	/** Returns a number from 0, inclusive, to 1, exclusive. */
	fraction(): number {
		return uniformFloat64.uniformFloat64(this.#generator);
	}

	/** Returns true with the given probability. */
	chance(probability: number): boolean {
		return this.fraction() < probability;
	}

	/** Returns one of the items; the list must not be empty. */
	pick<Item>(items: readonly Item[]): Item {
		return items[this.integer(0, items.length - 1)]!;
	}

	/** Returns an exponentially distributed number with the given mean, such as the time between events of a Poisson process. */
	exponential(mean: number): number {
		return -Math.log(1 - this.fraction()) * mean;
	}
}

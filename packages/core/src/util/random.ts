import * as uniformInt from 'pure-rand/distribution/uniformInt';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';

/** Pseudorandom number generator whose numbers depend only on the seed. */
export class SeededRandom {
	private readonly generator: ReturnType<typeof xoroshiro.xoroshiro128plus>;

	/** @param seed - A 32-bit integer. */
	constructor(seed: number) {
		this.generator = xoroshiro.xoroshiro128plus(seed);
	}

	/** Returns an integer from 0 to `limit - 1`. */
	int(limit: number): number {
		return uniformInt.uniformInt(this.generator, 0, limit - 1);
	}

	/** Returns a new array with the items in random order. */
	shuffle<Item>(items: readonly Item[]): Item[] {
		const result = [...items];
		for (let i = result.length - 1; i > 0; i--) {
			const j = this.int(i + 1);
			[result[i], result[j]] = [result[j]!, result[i]!];
		}

		return result;
	}
}

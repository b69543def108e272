import * as hash from '../util/hash.js';
import * as nearEqual from './near-equal.js';

const maxCachedNames = 16_384;

/**
 * Ranks endpoints for a key by rendezvous hashing (highest random weight), with the same result on all routers. The first ones are
 * the home endpoints of the key, on which its requests are preferably placed. When an endpoint is removed, only its keys move.
 * Hashes of endpoint names are cached, so ranking costs a few arithmetic operations per endpoint.
 */
export class HomeRanker {
	readonly #nameHashes = new Map<string, number>();

	/** Returns the `count` best endpoints for the key, best first. */
	rank<T extends {readonly endpoint: string}>(key: string, endpoints: readonly T[], count: number): T[] {
		const keyHash = hash.hash32(key);
		const best: Array<{readonly endpoint: T; readonly weight: number}> = [];
		for (const endpoint of endpoints) {
			const weight = nearEqual.mix32(keyHash ^ this.#hashName(endpoint.endpoint)); // eslint-disable-line no-bitwise
			insertRanked(best, {endpoint, weight}, count);
		}

		return best.map(entry => entry.endpoint);
	}

	/** Returns the best of the endpoints for the key, or `undefined` without endpoints. */
	select(key: string, endpoints: readonly string[]): string | undefined {
		const keyHash = hash.hash32(key);
		let best: string | undefined;
		let bestWeight = -1;
		for (const endpoint of endpoints) {
			const weight = nearEqual.mix32(keyHash ^ this.#hashName(endpoint)); // eslint-disable-line no-bitwise
			if (weight > bestWeight || (weight === bestWeight && endpoint < best!)) {
				best = endpoint;
				bestWeight = weight;
			}
		}

		return best;
	}

	#hashName(name: string): number {
		const cachedHash = this.#nameHashes.get(name);
		if (cachedHash !== undefined) {
			return cachedHash;
		}

		if (this.#nameHashes.size >= maxCachedNames) {
			this.#nameHashes.clear();
		}

		const nameHash = hash.hash32(name);
		this.#nameHashes.set(name, nameHash);
		return nameHash;
	}
}

type Ranked<T> = {readonly endpoint: T; readonly weight: number};

function insertRanked<T extends {readonly endpoint: string}>(best: Array<Ranked<T>>, entry: Ranked<T>, count: number): void {
	const last = best.at(-1);
	if (best.length >= count && last !== undefined && !isBefore(entry, last)) {
		return;
	}

	let index = best.length;
	while (index > 0 && isBefore(entry, best[index - 1]!)) {
		index -= 1;
	}

	best.splice(index, 0, entry);
	if (best.length > count) {
		best.pop();
	}
}

function isBefore<T extends {readonly endpoint: string}>(left: Ranked<T>, right: Ranked<T>): boolean {
	return left.weight > right.weight || (left.weight === right.weight && left.endpoint.endpoint < right.endpoint.endpoint);
}

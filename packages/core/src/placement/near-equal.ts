/** Mixes a 32-bit number so that each input bit changes about half of the output bits. */
export function mix32(value: number): number {
	let mixed = Math.imul(value ^ (value >>> 16), 0x85_EB_CA_6B); // eslint-disable-line no-bitwise
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xC2_B2_AE_35); // eslint-disable-line no-bitwise
	return (mixed ^ (mixed >>> 16)) >>> 0; // eslint-disable-line no-bitwise
}

/**
 * Picks one of the candidates whose cost is near the lowest, by a seed that differs between routers. Otherwise all routers with
 * the same stale reports would pick the same candidate.
 *
 * @param costOf - Cost of a candidate; lower is better.
 * @param tolerance - Maximum difference from the lowest cost.
 * @param seed - 32-bit seed; differs per router and decision.
 * @returns The chosen candidate, or `undefined` without candidates.
 */
export function pickNearEqual<T>(
	candidates: readonly T[],
	costOf: (candidate: T) => number,
	tolerance: number,
	seed: number,
): T | undefined {
	const costs = candidates.map(candidate => costOf(candidate));
	const limit = Math.min(...costs) + tolerance;
	const near = candidates.filter((_, index) => costs[index]! <= limit);
	return near[mix32(seed) % Math.max(1, near.length)];
}

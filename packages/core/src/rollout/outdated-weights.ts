/** Minimum margin between the expected start of a request on replaced weights and the limit on their use, in milliseconds. */
export const minStartMarginMs = 1200;
/** Start times that an engine may exceed the estimate by, as a multiple of the estimate: other requests may precede this one. */
const startTimeFactor = 3;
/**
 * Time before the limit at which a request that has not started on replaced weights is taken back, in milliseconds. It covers
 * the interval between two checks, the way to the engine, and the time in which the VM learned of the newer version.
 */
export const takeBackMarginMs = 500;

/**
 * Returns whether a request that is sent now can be expected to start before its weights may no longer be used.
 *
 * @param startWithinMs - Time until requests may no longer start on the weights, in milliseconds; `Infinity` for the newest weights.
 * @param firstTokenMs - Expected time until the first token, in milliseconds.
 */
export function canStartInTime(startWithinMs: number, firstTokenMs: number): boolean {
	return startWithinMs > Math.max(minStartMarginMs, firstTokenMs * startTimeFactor);
}

/**
 * Returns whether a request that was sent and has not started must be taken back, since its weights may soon no longer be used.
 *
 * @param startWithinMs - Time until requests may no longer start on the weights, in milliseconds; `Infinity` for the newest weights.
 */
export function mustTakeBack(startWithinMs: number): boolean {
	return startWithinMs <= takeBackMarginMs;
}

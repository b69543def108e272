/** Longest time of a timer of Node, in milliseconds; timers that are longer, or infinite, fire at once. */
const maxTimerMs = 2_147_483_647;

/** Returns a duration in milliseconds as the time of a timer: one that is too long for a timer becomes the longest, about 25 days. */
export function toTimerMs(durationMs: number): number {
	return Math.min(durationMs, maxTimerMs);
}

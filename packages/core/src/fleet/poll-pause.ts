/**
 * Polls of the key-value store that all VMs together make at most per second while something changes all the time: a quarter of the
 * reads that the smallest store serves.
 */
const maxFleetPollsPerSecond = 500;
/**
 * Longest pause, in milliseconds. A leader sends its orders within 600 ms after it has published its plan, and all VMs must have read
 * the plan by then.
 */
const maxPauseMs = 500;
const msPerSecond = 1000;

/**
 * Returns the pause of a VM after a poll that found changes, in milliseconds. In a large fleet some endpoint or VM changes its
 * entry at any time, so without a pause each VM would poll as fast as the store responds.
 */
export function computePollPauseMs(vmCount: number): number {
	return Math.min(maxPauseMs, vmCount * msPerSecond / maxFleetPollsPerSecond);
}

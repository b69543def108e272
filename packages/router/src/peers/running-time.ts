/**
 * Time during which this process was running, in milliseconds. Nothing is received while the process is paused, so silence of a
 * peer is measured in running time: a pause adds one tick interval at most, and running time never decreases.
 */
export class RunningTime {
	#elapsedMs = 0;
	#elapsedMsAtLastTick = 0;
	#lastTickAt: number;

	/** @param tickIntervalMs - Interval at which `tick` is called while the process is running, in milliseconds. */
	constructor(private readonly tickIntervalMs: number, now: number) {
		this.#lastTickAt = now;
	}

	/** Returns the running time since the start. */
	elapsedMs(now: number): number {
		const sinceLastTickMs = Math.min(now - this.#lastTickAt, this.tickIntervalMs);
		this.#elapsedMs = Math.max(this.#elapsedMs, this.#elapsedMsAtLastTick + sinceLastTickMs);
		return this.#elapsedMs;
	}

	/** Records that a timer of this process fired. */
	tick(now: number): void {
		this.#elapsedMsAtLastTick = this.elapsedMs(now);
		this.#lastTickAt = now;
	}
}

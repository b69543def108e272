import * as hdr from 'hdr-histogram-js';

const microsecondsPerMillisecond = 1000;
const maxMicroseconds = 600_000_000;

/** Summary of recorded durations. */
export type LatencySummary = {
	readonly count: number;
	readonly meanMs: number;
	readonly p50Ms: number;
	readonly p90Ms: number;
	readonly p99Ms: number;
	readonly maxMs: number;
};

/** Histogram of durations. */
export class LatencyRecorder {
	readonly #histogram = hdr.build({
		bitBucketSize: 32, lowestDiscernibleValue: 1, highestTrackableValue: maxMicroseconds, numberOfSignificantValueDigits: 3,
	});

	/** Records a duration in milliseconds. */
	record(durationMs: number): void {
		const microseconds = Math.round(Math.max(durationMs, 0) * microsecondsPerMillisecond);
		this.#histogram.recordValue(Math.min(microseconds, maxMicroseconds));
	}

	/** Returns the summary of all durations recorded so far. */
	summarize(): LatencySummary {
		return {
			count: this.#histogram.totalCount,
			meanMs: toMs(this.#histogram.mean),
			p50Ms: this.#percentile(50),
			p90Ms: this.#percentile(90),
			p99Ms: this.#percentile(99),
			maxMs: toMs(this.#histogram.maxValue),
		};
	}

	#percentile(percentile: number): number {
		return this.#histogram.totalCount === 0 ? 0 : toMs(this.#histogram.getValueAtPercentile(percentile));
	}
}

function toMs(microseconds: number): number {
	return Math.round(microseconds) / microsecondsPerMillisecond;
}

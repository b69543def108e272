import type * as wire from '@bluebellmast/wire';

type Sample = {readonly at: number; readonly report: wire.endpoint.LoadReport};

const sampleIntervalMs = 50;

/** Samples the load and reports it with a lag. */
export class LoadReporter {
	#samples: Sample[] = [];
	#sequence = 0;
	#timer: NodeJS.Timeout | undefined;

	constructor(
		private readonly lagMs: number,
		private readonly createReport: (sequence: number) => wire.endpoint.LoadReport,
	) {}

	/** Starts taking samples. */
	start(): void {
		this.#takeSample();
		this.#timer = setInterval(() => {
			this.#takeSample();
		}, sampleIntervalMs);
		this.#timer.unref();
	}

	/** Stops taking samples. */
	stop(): void {
		clearInterval(this.#timer);
	}

	/** Returns the latest report that is at least as old as the lag, or the oldest report. */
	reportAt(now: number): wire.endpoint.LoadReport {
		const index = this.#samples.findLastIndex(sample => sample.at <= now - this.lagMs);
		return this.#samples[Math.max(index, 0)]!.report;
	}

	#takeSample(): void {
		const now = Date.now();
		this.#sequence += 1;
		this.#samples.push({at: now, report: this.createReport(this.#sequence)});
		const oldest = this.#samples.findLastIndex(sample => sample.at <= now - this.lagMs);
		this.#samples = this.#samples.slice(Math.max(oldest, 0));
	}
}

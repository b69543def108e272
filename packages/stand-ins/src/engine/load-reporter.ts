import type * as wire from '@bluebellmast/wire';

type Sample = {readonly at: number; readonly report: wire.endpoint.LoadReport};

const sampleIntervalMs = 50;

/** Keeps samples of the load and reports one that is as old as the lag. */
export class LoadReporter {
	#samples: Sample[] = [];
	#sequence = 0;
	#timer: NodeJS.Timeout | undefined;

	constructor(
		private readonly lagMs: number,
		private readonly createReport: (sequence: number) => wire.endpoint.LoadReport,
	) {}

	/** Begins to take samples. */
	start(): void {
		this.#takeSample();
		this.#timer = setInterval(() => {
			this.#takeSample();
		}, sampleIntervalMs);
		this.#timer.unref();
	}

	/** Ends taking samples. */
	stop(): void {
		clearInterval(this.#timer);
	}

	/** Returns the lagging report. */
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

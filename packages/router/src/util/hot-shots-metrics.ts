import * as hotShots from 'hot-shots';
import type * as metrics from './metrics.js';
import * as noop from './noop.js';

/** Options of `HotShotsMetrics`. */
export type HotShotsMetricsOptions = {
	/** IP address of the StatsD server. */
	readonly host: string;
	readonly port: number;
	/** Prefix of all metric names. */
	readonly prefix: string;
};

/** Sends metrics to a StatsD server over UDP. */
export class HotShotsMetrics implements metrics.Metrics {
	readonly #client: hotShots.StatsD;

	constructor(options: HotShotsMetricsOptions) {
		this.#client = new hotShots.StatsD({...options, errorHandler: noop.noop});
	}

	increment(name: string, by = 1, tags: Readonly<Record<string, string>> = {}): void {
		this.#client.increment(name, by, tags);
	}

	gauge(name: string, value: number, tags: Readonly<Record<string, string>> = {}): void {
		this.#client.gauge(name, value, tags);
	}

	timing(name: string, durationMs: number, tags: Readonly<Record<string, string>> = {}): void {
		this.#client.timing(name, durationMs, tags);
	}

	/** Flushes and closes the socket. */
	async close(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#client.close(() => {
				resolve();
			});
		});
	}
}

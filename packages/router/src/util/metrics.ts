/** Sink for counters, gauges and timings. */
export interface Metrics { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	increment(name: string, by?: number, tags?: Readonly<Record<string, string>>): void;
	gauge(name: string, value: number, tags?: Readonly<Record<string, string>>): void;
	/** Records a duration in milliseconds. */
	timing(name: string, durationMs: number, tags?: Readonly<Record<string, string>>): void;
}

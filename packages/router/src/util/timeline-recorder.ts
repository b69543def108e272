import type * as core from '@bluebellmast/core';
import type * as clock from './clock.js';
import type * as metrics from './metrics.js';

/** Records events in the timeline and counts them in the metrics. */
export class TimelineRecorder {
	readonly #ring: core.timeline.TimelineRingBuffer;
	readonly #clock: clock.Clock;
	readonly #metrics: metrics.Metrics;

	constructor(ring: core.timeline.TimelineRingBuffer, systemClock: clock.Clock, sink: metrics.Metrics) {
		this.#ring = ring;
		this.#clock = systemClock;
		this.#metrics = sink;
	}

	/** Records one event with the current time. */
	record(entry: core.timeline.NewTimelineEvent): void {
		this.#metrics.increment(`events.${entry.type}`);
		this.#ring.record(entry, this.#clock.now());
	}

	/** Returns the recorded events that match a filter, oldest first. */
	select(filter: core.timeline.TimelineFilter): readonly core.timeline.TimelineEvent[] {
		return this.#ring.select(filter);
	}
}

import type * as core from '@bluebellmast/core';
import type * as clock from './clock.js';
import type * as metrics from './metrics.js';

/** Records events in the time line and counts them. */
export class TimelineRecorder {
	readonly #ring: core.timeline.TimelineRingBuffer;
	readonly #clock: clock.Clock;
	readonly #metrics: metrics.Metrics;

	constructor(ring: core.timeline.TimelineRingBuffer, systemClock: clock.Clock, sink: metrics.Metrics) {
		this.#ring = ring;
		this.#clock = systemClock;
		this.#metrics = sink;
	}

	/** Records one event at the present time. */
	record(entry: core.timeline.NewTimelineEvent): void {
		this.#metrics.increment(`events.${entry.type}`);
		this.#ring.record(entry, this.#clock.now());
	}

	/** Returns the recorded events that a filter selects, oldest first. */
	select(filter: core.timeline.TimelineFilter): readonly core.timeline.TimelineEvent[] {
		return this.#ring.select(filter);
	}
}

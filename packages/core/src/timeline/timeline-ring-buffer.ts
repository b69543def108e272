import type * as ids from '../model/ids.js';
import * as invariant from '../util/invariant.js';
import * as hybridClock from './hybrid-clock.js';
import * as timelineEvent from './timeline-event.js';

/** Options of {@link TimelineRingBuffer}. */
export type TimelineRingBufferOptions = {
	/** VM that records the events. */
	readonly vm: ids.VmId;
	/** Maximum number of stored events; 4096 by default. */
	readonly capacity?: number;
	/** Maximum lead of a remote clock that is accepted, in milliseconds; 60000 by default. */
	readonly maxDriftMs?: number;
};

/** Stores the latest events of a process in bounded memory; new events overwrite the oldest. */
export class TimelineRingBuffer {
	readonly #vm: ids.VmId;
	readonly #capacity: number;
	readonly #maxDriftMs: number;
	readonly #events: timelineEvent.TimelineEvent[] = [];
	#nextIndex = 0;
	#overwrittenCount = 0;
	#timestamp = hybridClock.zeroTimestamp;

	constructor(options: TimelineRingBufferOptions) {
		this.#vm = options.vm;
		this.#capacity = options.capacity ?? 4096;
		this.#maxDriftMs = options.maxDriftMs ?? 60_000;
		invariant.assertInvariant(this.#capacity > 0, 'timeline.capacity', () => `capacity ${this.#capacity} is not positive`);
	}

	/** Number of events that were overwritten. */
	get overwrittenCount(): number {
		return this.#overwrittenCount;
	}

	/** Latest timestamp, to be sent along with messages. */
	get timestamp(): hybridClock.HybridTimestamp {
		return this.#timestamp;
	}

	/** Records an event and returns it with its timestamp. */
	record(entry: timelineEvent.NewTimelineEvent, now: number): timelineEvent.TimelineEvent {
		this.#timestamp = hybridClock.advanceTimestamp(this.#timestamp, now);
		const event = {...entry, ...this.#timestamp, vm: this.#vm};
		if (this.#events.length < this.#capacity) {
			this.#events.push(event);
			return event;
		}

		this.#events[this.#nextIndex] = event;
		this.#nextIndex = (this.#nextIndex + 1) % this.#capacity;
		this.#overwrittenCount += 1;
		return event;
	}

	/** Advances the clock past the timestamp of a received message. */
	observe(remote: hybridClock.HybridTimestamp, now: number): void {
		this.#timestamp = hybridClock.mergeRemoteTimestamp(this.#timestamp, remote, now, this.#maxDriftMs);
	}

	/** Returns the events that match a filter, oldest first; only the latest `limit` of them. */
	select(filter: timelineEvent.TimelineFilter, limit = this.#capacity): timelineEvent.TimelineEvent[] {
		const ordered = [...this.#events.slice(this.#nextIndex), ...this.#events.slice(0, this.#nextIndex)];
		const selected = ordered.filter(event => timelineEvent.matchesFilter(event, filter));
		return selected.slice(Math.max(0, selected.length - limit));
	}
}

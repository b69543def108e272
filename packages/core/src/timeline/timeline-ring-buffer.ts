import type * as ids from '../model/ids.js';
import * as invariant from '../util/invariant.js';
import * as hybridClock from './hybrid-clock.js';
import * as timelineEvent from './timeline-event.js';

/** Options of a ring of events. */
export type TimelineRingBufferOptions = {
	/** VM that records. */
	readonly vm: ids.VmId;
	/** Events that are kept. Default 4096. */
	readonly capacity?: number;
	/** Largest lead of a remote clock that is followed, in milliseconds. Default 60000. */
	readonly maxDriftMs?: number;
};

/** Keeps the latest events of one process in bounded memory; new events overwrite the oldest. */
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
		invariant.assertInvariant(this.#capacity > 0, 'timeline.capacity', () => `capacity ${this.#capacity}`);
	}

	/** Number of events that were overwritten. */
	get overwrittenCount(): number {
		return this.#overwrittenCount;
	}

	/** Latest stamp, to be sent along with messages. */
	get timestamp(): hybridClock.HybridTimestamp {
		return this.#timestamp;
	}

	/** Records an event and returns it with its stamp. */
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

	/** Moves the clock past the stamp of a received message. */
	observe(remote: hybridClock.HybridTimestamp, now: number): void {
		this.#timestamp = hybridClock.mergeRemoteTimestamp(this.#timestamp, remote, now, this.#maxDriftMs);
	}

	/** Returns the selected events, oldest first; at most `limit` of the latest. */
	select(filter: timelineEvent.TimelineFilter, limit = this.#capacity): timelineEvent.TimelineEvent[] {
		const ordered = [...this.#events.slice(this.#nextIndex), ...this.#events.slice(0, this.#nextIndex)];
		const selected = ordered.filter(event => timelineEvent.matchesFilter(event, filter));
		return selected.slice(Math.max(0, selected.length - limit));
	}
}

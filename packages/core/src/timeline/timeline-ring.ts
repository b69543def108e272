import type * as ids from '../model/ids.js';
import * as invariant from '../util/invariant.js';
import * as hybridClock from './hybrid-clock.js';
import * as timelineEvent from './timeline-event.js';

/** Options of a ring of events. */
export type TimelineRingOptions = {
	/** VM that records. */
	readonly vm: ids.VmId;
	/** Events that are kept. Default 4096. */
	readonly capacity?: number;
	/** Largest lead of a remote clock that is followed, in milliseconds. Default 60000. */
	readonly maxDriftMs?: number;
};

/** Keeps the latest events of one process in bounded memory; new events overwrite the oldest. */
export class TimelineRing {
	readonly #vm: ids.VmId;
	readonly #capacity: number;
	readonly #maxDriftMs: number;
	readonly #events: timelineEvent.TimelineEvent[] = [];
	#next = 0;
	#dropped = 0;
	#stamp = hybridClock.zeroStamp;

	constructor(options: TimelineRingOptions) {
		this.#vm = options.vm;
		this.#capacity = options.capacity ?? 4096;
		this.#maxDriftMs = options.maxDriftMs ?? 60_000;
		invariant.assertInvariant(this.#capacity > 0, 'timeline.capacity', () => `capacity ${this.#capacity}`);
	}

	/** Number of events that were overwritten. */
	get dropped(): number {
		return this.#dropped;
	}

	/** Latest stamp, to be sent along with messages. */
	get stamp(): hybridClock.HybridStamp {
		return this.#stamp;
	}

	/** Records an event and returns it with its stamp. */
	record(entry: timelineEvent.TimelineEntry, now: number): timelineEvent.TimelineEvent {
		this.#stamp = hybridClock.tick(this.#stamp, now);
		const event = {...entry, ...this.#stamp, vm: this.#vm};
		if (this.#events.length < this.#capacity) {
			this.#events.push(event);
			return event;
		}

		this.#events[this.#next] = event;
		this.#next = (this.#next + 1) % this.#capacity;
		this.#dropped += 1;
		return event;
	}

	/** Moves the clock past the stamp of a received message. */
	observe(remote: hybridClock.HybridStamp, now: number): void {
		this.#stamp = hybridClock.receive(this.#stamp, remote, now, this.#maxDriftMs);
	}

	/** Returns the selected events, oldest first; at most `limit` of the latest. */
	select(filter: timelineEvent.TimelineFilter, limit = this.#capacity): timelineEvent.TimelineEvent[] {
		const ordered = [...this.#events.slice(this.#next), ...this.#events.slice(0, this.#next)];
		const selected = ordered.filter(event => timelineEvent.matchesFilter(event, filter));
		return selected.slice(Math.max(0, selected.length - limit));
	}
}

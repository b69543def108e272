import type * as ids from '../model/ids.js';
import * as invariant from '../util/invariant.js';
import * as hybridClock from './hybrid-clock.js';

/** Type of a timeline event. */
export enum TimelineEventType {
	RouterStarted = 'router_started',
	RouterReady = 'router_ready',
	RouterStopping = 'router_stopping',
	RequestReceived = 'request_received',
	RequestPlaced = 'request_placed',
	RequestDispatched = 'request_dispatched',
	FirstToken = 'first_token',
	RequestAnswered = 'request_answered',
	RequestRefused = 'request_refused',
	RequestRetried = 'request_retried',
	StreamResumed = 'stream_resumed',
	StreamRestarted = 'stream_restarted',
	IntentRecorded = 'intent_recorded',
	OutcomeRecorded = 'outcome_recorded',
	ManifestAccepted = 'manifest_accepted',
	ManifestUnconfirmed = 'manifest_unconfirmed',
	BatchRecalled = 'batch_recalled',
	BatchReinstated = 'batch_reinstated',
	MemberJoined = 'member_joined',
	MemberLost = 'member_lost',
	EndpointLeaving = 'endpoint_leaving',
	EndpointLost = 'endpoint_lost',
	EndpointReturned = 'endpoint_returned',
	EndpointSlow = 'endpoint_slow',
	CacheGap = 'cache_gap',
	CacheCleared = 'cache_cleared',
	LeaseGained = 'lease_gained',
	LeaseLost = 'lease_lost',
	OrderSent = 'order_sent',
	OrderFinished = 'order_finished',
	KvLost = 'kv_lost',
	KvReturned = 'kv_returned',
	/** An invariant of the program was violated. */
	InvariantBroken = 'invariant_broken',
	/** The program met another error that it did not expect. */
	InternalError = 'internal_error',
}

/** An event of the timeline. */
export type TimelineEvent = hybridClock.HybridTimestamp & {
	readonly vm: ids.VmId;
	readonly type: TimelineEventType;
	readonly requestId?: ids.RequestId;
	readonly endpoint?: ids.EndpointId;
	readonly account?: ids.AccountId;
	readonly generation?: ids.Generation;
	/** Short human-readable description. */
	readonly detail?: string;
};

/** An event as passed to the recorder, which adds the timestamp and the VM. */
export type NewTimelineEvent = Omit<TimelineEvent, 'at' | 'counter' | 'vm'>;

/** Describes an unexpected error as an event. */
export function createErrorEvent(err: unknown): NewTimelineEvent {
	const type = err instanceof invariant.InvariantError ? TimelineEventType.InvariantBroken : TimelineEventType.InternalError;
	return {type, detail: String(err)};
}

/** Selects events by the values of their fields; an absent field matches all events. */
export type TimelineFilter = {
	readonly requestId?: ids.RequestId;
	readonly endpoint?: ids.EndpointId;
	readonly account?: ids.AccountId;
	readonly generation?: ids.Generation;
	/** Milliseconds since the Unix epoch, inclusive. */
	readonly from?: number;
	/** Milliseconds since the Unix epoch, inclusive. */
	readonly to?: number;
};

/** Returns whether an event matches a filter. */
export function matchesFilter(event: TimelineEvent, filter: TimelineFilter): boolean {
	return (filter.requestId === undefined || filter.requestId === event.requestId)
		&& (filter.endpoint === undefined || filter.endpoint === event.endpoint)
		&& (filter.account === undefined || filter.account === event.account)
		&& (filter.generation === undefined || filter.generation === event.generation)
		&& (filter.from === undefined || event.at >= filter.from)
		&& (filter.to === undefined || event.at <= filter.to);
}

/** Compares two events by timestamp, then by VM. */
export function compareEvents(left: TimelineEvent, right: TimelineEvent): number {
	const order = hybridClock.compareTimestamps(left, right);
	if (order !== 0) {
		return order;
	}

	return left.vm < right.vm ? -1 : Number(left.vm > right.vm);
}

/** Merges the events of several processes into one ordered list. */
export function mergeEvents(parts: ReadonlyArray<readonly TimelineEvent[]>): TimelineEvent[] {
	return parts.flat().sort(compareEvents);
}

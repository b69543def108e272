import * as core from '@bluebellmast/core';
import * as prometheus from 'prom-client';
import type * as eventLog from '../util/event-log.js';

const {LogEvent: logEvents} = core.log;
const msPerSecond = 1000;
/** Histogram buckets in seconds: from the response time of a plain service to the longest timeout of a route. */
const secondsBuckets = [0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1, 1.5, 2.5, 4, 8];
/** Value of the `kind` label for requests that matched no route. */
const unknownKind = 'none';

/**
 * Derives metrics from log events before they are passed on to the log. Events whose lines the log drops are counted as well,
 * and no decision has to be reported separately to the metrics.
 */
export class EventMetrics implements eventLog.EventLog {
	readonly #events: prometheus.Counter;
	readonly #requests: prometheus.Counter;
	readonly #durations: prometheus.Histogram;
	readonly #firstBytes: prometheus.Histogram;
	readonly #gaps: prometheus.Histogram;
	readonly #attempts: prometheus.Counter;
	readonly #faults: prometheus.Counter;
	readonly #orders: prometheus.Counter;
	readonly #startMargins: prometheus.Histogram;
	readonly #blockedTimes: prometheus.Histogram;

	/** @param next - Log to which all events are passed on. */
	constructor(private readonly next: eventLog.EventLog, registry: prometheus.Registry) {
		const registers = [registry];
		this.#events = new prometheus.Counter({
			name: 'bluebellmast_log_events_total', help: 'Events by name, dropped lines included.', labelNames: ['event'], registers,
		});
		this.#requests = new prometheus.Counter({
			name: 'bluebellmast_requests_total',
			help: 'Requests that ended, by kind of route, outcome, and the code of the gateway\'s own answer.',
			labelNames: ['kind', 'outcome', 'code'],
			registers,
		});
		this.#durations = createHistogram('bluebellmast_request_duration_seconds', 'Time from the head of a request to its end.', registers);
		this.#firstBytes = createHistogram('bluebellmast_first_byte_seconds', 'Time from the head of a request to the first part of its answer.', registers);
		this.#gaps = createHistogram('bluebellmast_longest_gap_seconds', 'Longest pause between two parts of an answer.', registers);
		this.#attempts = new prometheus.Counter({
			name: 'bluebellmast_sends_total', help: 'Requests sent to endpoints, first sends and repeats.', labelNames: ['type'], registers,
		});
		this.#faults = new prometheus.Counter({
			name: 'bluebellmast_attempt_faults_total', help: 'Sends that ended without a whole answer, by fault.', labelNames: ['fault'], registers,
		});
		this.#orders = new prometheus.Counter({
			name: 'bluebellmast_orders_total', help: 'Orders to load weights, by outcome.', labelNames: ['outcome'], registers,
		});
		this.#startMargins = new prometheus.Histogram({
			name: 'bluebellmast_replaced_weights_margin_seconds',
			help: 'Time left until a request may no longer start, when it was sent to an engine with replaced weights.',
			buckets: secondsBuckets,
			registers,
		});
		this.#blockedTimes = new prometheus.Histogram({
			name: 'bluebellmast_event_loop_blocked_seconds',
			help: 'Times for which the event loop was blocked for 0.1 s or more.',
			buckets: secondsBuckets,
			registers,
		});
	}

	write<Event extends core.log.LogEvent>(event: Event, fields: core.log.LogFieldsByEvent[Event]): void {
		this.#events.inc({event});
		this.#countEvent({event, fields} as LoggedEvent);
		this.next.write(event, fields);
	}

	#countEvent(logged: LoggedEvent): void {
		if (logged.event === logEvents.RequestEnded) {
			this.#countRequestEnd(logged.fields);
		}

		if (logged.event === logEvents.RequestRejected) {
			this.#requests.inc({kind: unknownKind, outcome: core.log.RequestOutcome.Refused, code: logged.fields.code});
		}

		if (logged.event === logEvents.RequestSent) {
			this.#attempts.inc({type: logged.fields.send === 1 ? 'first' : 'repeat'});
			if (logged.fields.startWithinMs !== undefined) {
				this.#startMargins.observe(logged.fields.startWithinMs / msPerSecond);
			}
		}

		if (logged.event === logEvents.AttemptFailed) {
			this.#faults.inc({fault: logged.fields.fault});
		}

		if (logged.event === logEvents.OrderSent) {
			this.#orders.inc({outcome: logged.fields.outcome});
		}

		if (logged.event === logEvents.EventLoopBlocked) {
			this.#blockedTimes.observe(logged.fields.blockedMs / msPerSecond);
		}
	}

	#countRequestEnd({kind = unknownKind, outcome, code = '', tookMs, firstMs, maxGapMs}: core.log.LogFieldsByEvent[core.log.LogEvent.RequestEnded]): void {
		this.#requests.inc({kind, outcome, code});
		this.#durations.observe({kind}, tookMs / msPerSecond);
		if (firstMs !== undefined) {
			this.#firstBytes.observe({kind}, firstMs / msPerSecond);
		}

		if (maxGapMs !== undefined) {
			this.#gaps.observe({kind}, maxGapMs / msPerSecond);
		}
	}
}

type LoggedEvent = {[Event in core.log.LogEvent]: {readonly event: Event; readonly fields: core.log.LogFieldsByEvent[Event]}}[core.log.LogEvent];

function createHistogram(name: string, help: string, registers: prometheus.Registry[]): prometheus.Histogram {
	return new prometheus.Histogram({
		name, help, labelNames: ['kind'], buckets: secondsBuckets, registers,
	});
}

import * as core from '@bluebellmast/core';
import * as endpoints from '../endpoints/index.js';
import type * as endpointPlacer from '../placement/endpoint-placer.js';
import type * as ports from '../ports/index.js';
import * as eventLog from '../util/event-log.js';
import type * as requestContext from './request-context.js';
import type * as requestDispatcher from './request-dispatcher.js';
import type * as sentAttempt from './sent-attempt.js';

/** Time until the first byte of an answer from a plain service is due, in milliseconds: the target of both deployments. */
const plainServiceFirstByteMs = 100;

/** Faults that speak against the endpoint itself. */
const connectionFaults: ReadonlySet<endpoints.AttemptFault> = new Set([
	endpoints.AttemptFault.ConnectFailed,
	endpoints.AttemptFault.ConnectionLost,
	endpoints.AttemptFault.WrongAnswer,
	endpoints.AttemptFault.Unsigned,
]);

/** Records what the sends of one request tell of the endpoints: in the state of the fleet and in the log. */
export class AttemptRecorder {
	constructor(private readonly request: requestContext.RoutedRequest, private readonly dependencies: requestDispatcher.DispatcherDependencies) {}

	/**
	 * Notes a send.
	 *
	 * @param number - Sends of the request so far, this one included.
	 */
	recordSent({placement, id}: sentAttempt.SentAttempt, number: number): void {
		const {fleet, clock, log} = this.dependencies;
		const endpoint = placement.entry.id;
		const isEngine = placement.weightVersion !== undefined;
		fleet.loads.addRequest(endpoint, id, placement.choice.prefillTokens);
		fleet.health.noteSent(endpoint, id, isEngine ? placement.choice.firstTokenMs : plainServiceFirstByteMs, clock.monotonicNow());
		this.#recordCacheObservations(placement, false);
		log.write(eventLog.LogEvent.RequestSent, {
			request: this.request.head.requestId,
			route: this.request.route.name,
			config: this.request.table.config.version,
			account: this.request.account?.name,
			endpoint,
			send: number,
			weights: placement.weightVersion,
			costMs: Math.round(placement.choice.costMs),
			backlogMs: Math.round(placement.choice.backlogMs),
			prefill: placement.choice.prefillTokens,
			active: fleet.loads.countOwnActive(endpoint),
		});
	}

	/** Notes that a part of an answer arrived. */
	recordProgress(sent: sentAttempt.SentAttempt): void {
		const {fleet, clock} = this.dependencies;
		const {placement, id} = sent;
		const now = clock.monotonicNow();
		const endpoint = placement.entry.id;
		if (!sent.hasResponseStarted) {
			sent.hasResponseStarted = true;
			this.#recordCacheObservations(placement, placement.saveCacheTo !== undefined);
		}

		fleet.loads.endPrefill(endpoint, id);
		fleet.health.noteReceived(endpoint, id, now);
		if (this.request.route.kind === core.routing.RouteKind.Streaming) {
			fleet.health.noteSent(endpoint, id, this.request.route.gapTargetMs, now);
		}
	}

	/** Notes the head of an answer. */
	recordHead({placement}: sentAttempt.SentAttempt, head: ports.AnswerHead): void {
		const {fleet, clock} = this.dependencies;
		const {entry} = placement;
		const now = clock.monotonicNow();
		if (head.load !== undefined) {
			fleet.loads.setReportedLoad(entry.id, head.load, now);
		}

		const model = this.request.head.prompt?.model;
		if (head.weightVersion !== undefined && model !== undefined) {
			fleet.registry.noteObservedWeights(entry.id, entry.bornAt, {model, version: head.weightVersion}, now);
		}
	}

	/** Notes the end of a send. */
	recordEnd(sent: sentAttempt.SentAttempt, end: endpoints.AttemptEnd): void {
		const {fleet} = this.dependencies;
		const endpoint = sent.placement.entry.id;
		fleet.loads.removeRequest(endpoint, sent.id);
		fleet.health.noteEnded(endpoint, sent.id);
		if (end.fault === undefined) {
			fleet.health.noteOutcome(endpoint, false);
			return;
		}

		if (end.fault === endpoints.AttemptFault.Refused && end.head !== undefined) {
			this.recordHead(sent, end.head);
		}

		this.#recordFault(endpoint, end);
		this.dependencies.log.write(eventLog.LogEvent.AttemptFailed, {
			request: this.request.head.requestId,
			endpoint,
			fault: end.fault,
			progress: end.progress,
			status: end.head?.status,
			detail: end.detail,
		});
	}

	#recordFault(endpoint: string, end: endpoints.AttemptEnd): void {
		const {health} = this.dependencies.fleet;
		const isUnreachable = end.head?.isMisdirected === true || end.fault === endpoints.AttemptFault.ConnectRefused;
		if (isUnreachable) {
			health.noteGone(endpoint);
		} else if (end.fault === endpoints.AttemptFault.AnsweredWithFailure) {
			health.noteOutcome(endpoint, true);
		} else if (end.fault !== undefined && connectionFaults.has(end.fault)) {
			health.noteConnectionFailure(endpoint);
		}
	}

	#recordCacheObservations(placement: endpointPlacer.Placement, isComputed: boolean): void {
		if (placement.partKeys.length > 0) {
			const type = isComputed ? core.fleet.CacheObservationType.Computed : core.fleet.CacheObservationType.Sent;
			this.dependencies.recordCacheObservations(placement.partKeys.map(key => ({type, key, endpoint: placement.entry.id})));
		}
	}
}

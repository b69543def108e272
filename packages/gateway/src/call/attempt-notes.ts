import * as core from '@bluebellmast/core';
import * as endpoints from '../endpoints/index.js';
import type * as endpointPlacer from '../placement/endpoint-placer.js';
import type * as ports from '../ports/index.js';
import * as eventLog from '../util/event-log.js';
import type * as callContext from './call-context.js';
import type * as callDispatcher from './call-dispatcher.js';
import type * as sentAttempt from './sent-attempt.js';

/** Time until the first byte of an answer from a plain service is due, in milliseconds: the target of both deployments. */
const plainAnswerMs = 100;

/** Faults that speak against the endpoint itself. */
const brokenFaults: ReadonlySet<endpoints.AttemptFault> = new Set([
	endpoints.AttemptFault.ConnectFailed,
	endpoints.AttemptFault.ConnectionLost,
	endpoints.AttemptFault.WrongResponse,
	endpoints.AttemptFault.Unsigned,
]);

/** Records what the sends of one request tell of the endpoints: in the state of the fleet and in the log. */
export class AttemptNotes {
	constructor(private readonly call: callContext.RoutedCall, private readonly parts: callDispatcher.DispatchParts) {}

	/**
	 * Notes a send.
	 *
	 * @param number - Sends of the request so far, this one included.
	 */
	noteSent({placement, id}: sentAttempt.SentAttempt, number: number): void {
		const {fleet, clock, log} = this.parts;
		const endpoint = placement.entry.id;
		const isEngine = placement.weightVersion !== undefined;
		fleet.loads.addRequest(endpoint, id, placement.choice.prefillTokens);
		fleet.health.recordSent(endpoint, id, isEngine ? placement.choice.firstTokenMs : plainAnswerMs, clock.steadyNow());
		this.#noteParts(placement, false);
		log.write(eventLog.LogEvent.RequestSent, {
			request: this.call.head.requestId,
			route: this.call.route.name,
			config: this.call.table.config.version,
			account: this.call.account?.name,
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
	noteProgress(sent: sentAttempt.SentAttempt): void {
		const {fleet, clock} = this.parts;
		const {placement, id} = sent;
		const now = clock.steadyNow();
		const endpoint = placement.entry.id;
		if (!sent.hasBegun) {
			sent.hasBegun = true;
			this.#noteParts(placement, placement.saveCacheTo !== undefined);
		}

		fleet.loads.endPrefill(endpoint, id);
		fleet.health.recordReceived(endpoint, id, now);
		if (this.call.route.kind === core.routing.RouteKind.Streaming) {
			fleet.health.recordSent(endpoint, id, this.call.route.gapTargetMs, now);
		}
	}

	/** Notes the head of an answer. */
	noteHead({placement}: sentAttempt.SentAttempt, head: ports.ResponseHead): void {
		const {fleet, clock} = this.parts;
		const {entry} = placement;
		const now = clock.steadyNow();
		if (head.load !== undefined) {
			fleet.loads.setReportedLoad(entry.id, head.load, now);
		}

		const model = this.call.head.prompt?.model;
		if (head.weightVersion !== undefined && model !== undefined) {
			fleet.registry.recordObservedWeights(entry.id, entry.bornAt, {model, version: head.weightVersion}, now);
		}
	}

	/** Notes the end of a send. */
	noteEnd(sent: sentAttempt.SentAttempt, end: endpoints.AttemptResult): void {
		const {fleet} = this.parts;
		const endpoint = sent.placement.entry.id;
		fleet.loads.removeRequest(endpoint, sent.id);
		fleet.health.recordEnd(endpoint, sent.id);
		if (end.fault === undefined) {
			fleet.health.recordOutcome(endpoint, false);
			return;
		}

		if (end.fault === endpoints.AttemptFault.Refused && end.head !== undefined) {
			this.noteHead(sent, end.head);
		}

		this.#noteFault(endpoint, end);
		this.parts.log.write(eventLog.LogEvent.AttemptFailed, {
			request: this.call.head.requestId,
			endpoint,
			fault: end.fault,
			progress: end.progress,
			status: end.head?.status,
			detail: end.detail,
		});
	}

	#noteFault(endpoint: string, end: endpoints.AttemptResult): void {
		const {health} = this.parts.fleet;
		const isGone = end.head?.isMisdirected === true || end.fault === endpoints.AttemptFault.ConnectRefused;
		if (isGone) {
			health.recordUnresponsive(endpoint);
		} else if (end.fault === endpoints.AttemptFault.ErrorResponse) {
			health.recordOutcome(endpoint, true);
		} else if (end.fault !== undefined && brokenFaults.has(end.fault)) {
			health.recordConnectionFailure(endpoint);
		}
	}

	#noteParts(placement: endpointPlacer.Placement, isComputed: boolean): void {
		if (placement.partKeys.length > 0) {
			const type = isComputed ? core.fleet.CacheObservationType.Computed : core.fleet.CacheObservationType.Sent;
			this.parts.noteSigns(placement.partKeys.map(key => ({type, key, endpoint: placement.entry.id})));
		}
	}
}

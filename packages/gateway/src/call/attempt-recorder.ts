import * as core from '@bluebellmast/core';
import * as clients from '@bluebellmast/kv';
import * as endpoints from '../endpoints/index.js';
import type * as endpointPlacer from '../placement/endpoint-placer.js';
import * as ports from '../ports/index.js';
import * as eventLog from '../util/event-log.js';
import type * as requestContext from './request-context.js';
import type * as requestDispatcher from './request-dispatcher.js';
import type * as sentAttempt from './sent-attempt.js';

/** Time within which the first byte of a response of a plain service is due, in milliseconds: the target of both deployments. */
const plainServiceFirstByteMs = 100;

/** Time after a response within which an endpoint that the request ends closes its connections, in milliseconds. */
const outlivedMs = 500;

/** Faults that count as connection failures of the endpoint. */
const connectionFaults: ReadonlySet<endpoints.AttemptFault> = new Set([
	endpoints.AttemptFault.ConnectFailed,
	endpoints.AttemptFault.ConnectionLost,
	endpoints.AttemptFault.WrongResponse,
	endpoints.AttemptFault.Unsigned,
	endpoints.AttemptFault.EndlessResponse,
]);

/** Faults of a link, or of an endpoint that has ended. */
const pathFaults: ReadonlySet<endpoints.AttemptFault> = new Set([
	endpoints.AttemptFault.ConnectFailed,
	endpoints.AttemptFault.ConnectRefused,
	endpoints.AttemptFault.ConnectionLost,
]);

/** Records the attempts of one request in the state of the fleet and in the log. */
export class AttemptRecorder {
	/** @param promptKeys - Keys of the parts of the request's prompt; absent without a prompt. */
	constructor(
		private readonly request: requestContext.RoutedRequest,
		private readonly promptKeys: core.quarantine.PromptKeys | undefined,
		private readonly dependencies: requestDispatcher.ForwarderDependencies,
	) {}

	/**
	 * Records that an attempt was sent.
	 *
	 * @param number - Number of the attempt, counted from 1.
	 */
	recordSent({placement, id, helper}: sentAttempt.SentAttempt, number: number): void {
		const {fleet, clock, log} = this.dependencies;
		const endpoint = placement.entry.id;
		const isEngine = placement.weightVersion !== undefined;
		fleet.loads.addRequest(endpoint, id, placement.choice.prefillTokens);
		this.dependencies.pauses.recordSent(placement.entry, id);
		fleet.limits.countSend(placement.entry);
		const now = clock.monotonicNow();
		const firstByteMs = isEngine ? placement.choice.firstTokenMs : plainServiceFirstByteMs;
		fleet.health.recordSent(endpoint, id, firstByteMs, now);
		if (helper === undefined) {
			fleet.paths.recordSent(placement.entry, id, now + firstByteMs);
		}

		this.#recordCacheObservations(placement, false);
		log.write(eventLog.LogEvent.RequestSent, {
			request: this.request.head.requestId,
			route: this.request.route.name,
			config: this.request.table.config.version,
			account: this.request.account?.name,
			endpoint,
			helper,
			send: number,
			weights: placement.weightVersion,
			startWithinMs: roundFinite(placement.choice.candidate.startWithinMs),
			costMs: Math.round(placement.choice.costMs),
			backlogMs: Math.round(placement.choice.backlogMs),
			prefill: placement.choice.prefillTokens,
			parts: this.promptKeys?.sharedParts.join(','),
			active: fleet.loads.countOwnActive(endpoint),
		});
	}

	/** Records that the head of a response or a chunk of its body arrived. */
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
		this.#recordReceived(sent, now);
		if (this.request.route.kind === core.routing.RouteKind.Streaming) {
			fleet.health.recordSent(endpoint, id, this.request.route.gapTargetMs, now);
			if (sent.helper === undefined) {
				fleet.paths.recordSent(placement.entry, id, now + this.request.route.gapTargetMs);
			}
		}
	}

	/** Records the pause that a response asks for, refusals included, as soon as its head has arrived. */
	recordPause(placement: endpointPlacer.Placement, head: ports.ResponseHead): void {
		this.dependencies.pauses.record(placement.entry, head.retryAfterMs);
	}

	/** Records the limit that a response states, or that it states none, as soon as its head has arrived. */
	recordLimit({entry}: endpointPlacer.Placement, head: ports.ResponseHead): void {
		const {fleet, clock} = this.dependencies;
		if (ports.isFromIntended(head, entry.id)) {
			fleet.limits.record(entry, {limit: head.requestLimit, isAuthoritative: head.isSigned}, clock.suspendAwareNow());
		}
	}

	/** Records the load and the weight version that the head of a response reports. */
	recordHead({placement}: sentAttempt.SentAttempt, head: ports.ResponseHead): void {
		const {fleet, clock} = this.dependencies;
		const {entry} = placement;
		if (head.load !== undefined) {
			fleet.loads.setReportedLoad(entry.id, head.load, clock.monotonicNow());
		}

		const model = this.request.head.prompt?.model;
		if (head.weightVersion !== undefined && model !== undefined) {
			fleet.registry.recordObservedWeights(entry.id, entry.bornAt, {model, version: head.weightVersion}, clock.suspendAwareNow());
		}
	}

	/** Records whether the head of a response, also of a refusal, states that the endpoint is leaving. */
	recordNotice(entry: core.fleet.EndpointEntry, head: ports.ResponseHead): void {
		if (ports.announcesLeaving(head, entry.id)) {
			this.dependencies.leavingRecorder.record(entry);
		}
	}

	/**
	 * Records that the endpoint did not complete the response, or closed the connection before it began.
	 *
	 * @param at - When the connection was closed, in milliseconds of the clock that includes suspensions.
	 */
	recordInterruption({placement, hasResponseStarted, helper}: sentAttempt.SentAttempt, at = this.dependencies.clock.suspendAwareNow()): void {
		if (helper !== undefined) {
			// The other VM may have closed the connection.
			return;
		}

		this.dependencies.interruptions.record(placement.entry, {sharedParts: [], ...this.promptKeys, hasBegun: hasResponseStarted}, at);
	}

	/**
	 * Records that an attempt delivered a complete response, once its connection shows that the endpoint outlived the request: a short
	 * response may be complete before the endpoint ends on it.
	 */
	recordCompletion(sent: sentAttempt.SentAttempt, connection: Pick<endpoints.EndpointConnection, 'isOpen' | 'isClosedHere' | 'closedAt'>): void {
		const {quarantine, clock} = this.dependencies;
		const sharedParts = this.promptKeys?.sharedParts ?? [];
		if (sharedParts.length === 0) {
			return;
		}

		const completedAt = clock.suspendAwareNow();
		setTimeout(async () => {
			await clients.timeouts.waitForInput();
			if (connection.isOpen) {
				quarantine.recordCompletion(sharedParts, completedAt);
			} else if (!connection.isClosedHere) {
				this.recordInterruption(sent, connection.closedAt);
			}
		}, outlivedMs).unref();
	}

	/** Records that an endpoint responded on a connection, if only by a refusal. */
	recordAlive(sent: sentAttempt.SentAttempt, head: ports.ResponseHead, connection: Pick<endpoints.EndpointConnection, 'openedAt'>): void {
		const {entry} = sent.placement;
		this.dependencies.quarantine.recordAlive(entry, connection.openedAt);
		if (!isFromOther(head, entry.id)) {
			this.#recordReceived(sent, this.dependencies.clock.monotonicNow());
		}
	}

	/**
	 * Records that an attempt sends nothing for too long.
	 *
	 * @param obstacle - Why the request is not sent to another endpoint; absent if it is.
	 */
	recordSilence({placement}: sentAttempt.SentAttempt, obstacle: core.log.RetryObstacle | undefined): void {
		this.dependencies.silences.record(this.request.head.requestId, placement.entry.id, obstacle);
	}

	/** Records the end of an attempt. */
	recordEnd(sent: sentAttempt.SentAttempt, end: endpoints.AttemptResult): void {
		const {fleet} = this.dependencies;
		const endpoint = sent.placement.entry.id;
		fleet.loads.removeRequest(endpoint, sent.id);
		this.dependencies.failedSearches.clear();
		this.dependencies.pauses.recordEnd(sent.placement.entry, sent.id);
		fleet.health.recordEnd(endpoint, sent.id);
		fleet.paths.recordEnd(sent.placement.entry, sent.id);
		if (end.fault === undefined) {
			fleet.health.recordOutcome(endpoint, false);
			return;
		}

		if (end.fault === endpoints.AttemptFault.Refused && end.head !== undefined) {
			this.recordHead(sent, end.head);
		}

		this.#recordFault(sent, end);
		this.dependencies.log.write(eventLog.LogEvent.AttemptFailed, {
			request: this.request.head.requestId,
			endpoint,
			fault: end.fault,
			progress: end.progress,
			status: end.head?.status,
			detail: end.detail,
		});
	}

	#recordReceived({placement, id, helper}: sentAttempt.SentAttempt, now: number): void {
		const endpoint = placement.entry.id;
		if (helper === undefined) {
			this.dependencies.fleet.paths.recordReceived(placement.entry, id, now);
		}

		if (this.dependencies.fleet.health.recordReceived(endpoint, id, now)) {
			this.dependencies.log.write(eventLog.LogEvent.EndpointResponsive, {endpoint});
		}
	}

	#recordFault({placement: {entry}, helper}: sentAttempt.SentAttempt, end: endpoints.AttemptResult): void {
		const {fleet: {health, paths}, clock} = this.dependencies;
		const endpoint = entry.id;
		if (helper === undefined && end.fault !== undefined && pathFaults.has(end.fault)) {
			paths.recordFailure(entry, clock.monotonicNow());
		}

		if (helper !== undefined && end.fault === endpoints.AttemptFault.ConnectionLost) {
			// The other VM may have closed it.
			return;
		}

		const isUnreachable = (end.head !== undefined && isFromOther(end.head, endpoint)) || end.fault === endpoints.AttemptFault.ConnectRefused;
		if (isUnreachable) {
			health.recordUnresponsive(endpoint);
		} else if (end.fault === endpoints.AttemptFault.ErrorResponse || end.fault === endpoints.AttemptFault.InvalidSequence) {
			health.recordOutcome(endpoint, true);
		} else if (end.fault !== undefined && connectionFaults.has(end.fault)) {
			health.recordConnectionFailure(endpoint);
		}
	}

	#recordCacheObservations(placement: endpointPlacer.Placement, isComputed: boolean): void {
		if (placement.prefixes.length > 0) {
			const type = isComputed ? core.fleet.CacheObservationType.Computed : core.fleet.CacheObservationType.Sent;
			this.dependencies.recordCacheObservations(placement.prefixes.map(({key}) => ({type, key, endpoint: placement.entry.id})));
		}
	}
}

/** Whether a refusal is of another process at the endpoint's address. An endpoint refuses with the same status if its weights are not those named. */
function isFromOther({isMisdirected, respondingEndpoint}: ports.ResponseHead, endpoint: string): boolean {
	return isMisdirected && respondingEndpoint !== endpoint;
}

/** Returns a finite number rounded, or `undefined`. */
function roundFinite(value: number): number | undefined {
	return Number.isFinite(value) ? Math.round(value) : undefined;
}

import * as core from '@bluebellmast/core';
import * as endpoints from '../endpoints/index.js';
import type * as endpointPlacer from '../placement/endpoint-placer.js';
import type * as ports from '../ports/index.js';
import * as eventLog from '../util/event-log.js';
import type * as quotaPermit from './quota-permit.js';
import type * as attemptRecorder from './attempt-recorder.js';
import type * as requestContext from './request-context.js';
import type * as requestDispatcher from './request-dispatcher.js';
import type * as sentAttempt from './sent-attempt.js';

/** Connections that this VM may open to an endpoint, relative to its equal share of the connection limit. */
const connectionShareFactor = 1.5;

/** What an {@link AttemptSender} needs to know of its request. */
export type AttemptSenderOptions = {
	readonly request: requestContext.RoutedRequest;
	/** In milliseconds of the monotonic clock. */
	readonly deadlineAt: number;
	/** Whether the request may be executed more than once. */
	readonly isIdempotent: boolean;
	readonly recorder: attemptRecorder.AttemptRecorder;
	readonly dependencies: requestDispatcher.DispatcherDependencies;
	/** Receives the response of an attempt. */
	readonly createSink: (sent: sentAttempt.SentAttempt) => endpoints.ResponseSink;
	/** Whether the endpoint broke off an attempt that has ended, other than by a refusal. */
	readonly isInterrupted: (sent: sentAttempt.SentAttempt, end: endpoints.AttemptResult) => boolean;
};

/** Sends the attempts of one request, and records how they end. */
export class AttemptSender {
	/** Attempts of which it is not known that they were not executed. */
	readonly #mayBeExecuted = new Set<sentAttempt.SentAttempt>();

	constructor(private readonly options: AttemptSenderOptions) {}

	/**
	 * Sends the request to an endpoint.
	 *
	 * @param number - Number of the attempt, counted from 1.
	 * @param lastEventId - Id of the last event that the caller has received; absent at the start of a response.
	 * @returns The attempt, or `undefined` if all connections that this VM may open to the endpoint are busy, none can be opened, the endpoint limits its
	 * requests, or the quota of the account has not admitted the attempt.
	 */
	send(placement: endpointPlacer.Placement, number: number, lastEventId: number | undefined, now: number): sentAttempt.SentAttempt | undefined {
		const {request: {head, body, quotaPermit: permit}, dependencies, recorder} = this.options;
		if (permit?.isValid === false) {
			return undefined;
		}

		const {entry} = placement;
		const {limits} = dependencies.fleet;
		const suspendAwareNow = dependencies.clock.suspendAwareNow();
		if (limits.waitMs(entry, suspendAwareNow) > 0) {
			return undefined;
		}

		const pool = dependencies.connections.poolFor(entry);
		const connection = this.#acquireConnection(pool, entry, now);
		if (connection === undefined) {
			return undefined;
		}

		limits.take(entry, suspendAwareNow);
		const grantedAt = permit?.use();
		const attempt = new endpoints.EndpointAttempt({
			pool,
			connection,
			protocol: dependencies.protocol,
			request: {
				method: head.method,
				target: head.target,
				requestId: head.requestId,
				headers: dependencies.protocol.encodeRequestHead(head, this.#createDirectives(placement, lastEventId, now)),
				body,
			},
			sink: {
				onHead: (responseHead, raw) => sink.onHead(responseHead, raw),
				onData: chunk => sink.onData(chunk),
				onDiscardedData(chunk) {
					sink.onDiscardedData(chunk);
				},
			},
			onHeadReceived(responseHead) {
				recorder.recordNotice(entry, responseHead);
			},
			onMatchingHead(responseHead) {
				recorder.recordPause(placement, responseHead);
				recorder.recordLimit(placement, responseHead);
				recorder.recordAlive(sent, responseHead, connection);
			},
			monotonicNow: dependencies.clock.monotonicNow,
			scheduler: dependencies.scheduler,
			findObstacle: () => dependencies.fleet.registry.isReady(entry, dependencies.clock.suspendAwareNow()) ? undefined : endpoints.AttemptFault.EndpointLeft,
		});
		const sent: sentAttempt.SentAttempt = {
			placement, attempt, helper: connection.helper, id: `${head.requestId}#${number - 1}`, hasResponseStarted: false, ended: Promise.resolve(),
		};
		const sink = this.options.createSink(sent);
		this.#mayBeExecuted.add(sent);
		this.options.request.isSent = true;
		recorder.recordSent(sent, number);
		sent.ended = this.#run(sent, connection, grantedAt);
		return sent;
	}

	/** Returns a connection; `undefined` if none is free or the endpoint's address can't be used, which is no fault of the request. */
	#acquireConnection(pool: endpoints.ConnectionPool, {id, pool: poolName}: core.fleet.EndpointEntry, now: number): endpoints.EndpointConnection | undefined {
		const {request, dependencies: {fleet, log}, isIdempotent} = this.options;
		try {
			return pool.acquire({requiresFresh: !isIdempotent, requestId: request.head.requestId}, this.#computeMaxConnections(poolName), now);
		} catch (err) {
			fleet.health.recordUnresponsive(id);
			log.write(eventLog.LogEvent.InternalError, {task: `connection to ${id}`, problem: String(err)});
			return undefined;
		}
	}

	async #run(sent: sentAttempt.SentAttempt, connection: endpoints.EndpointConnection, grantedAt: quotaPermit.GrantTime | undefined): Promise<void> {
		const {recorder, isInterrupted} = this.options;
		const end = await sent.attempt.run();
		sent.end = end;
		if (core.request.isKnownNotExecuted({id: sent.id, endpoint: sent.placement.entry.id, progress: end.progress})) {
			this.#mayBeExecuted.delete(sent);
			this.options.request.isSent = this.#mayBeExecuted.size > 0;
			if (grantedAt !== undefined) {
				this.options.request.quotaPermit?.restore(grantedAt);
			}
		}

		recorder.recordEnd(sent, end);
		sent.isInterrupted = isInterrupted(sent, end);
		if (sent.isInterrupted) {
			recorder.recordInterruption(sent);
		} else if (end.fault === undefined && sent.attempt.keepsConnection) {
			recorder.recordCompletion(sent, connection);
		}
	}

	#createDirectives(placement: endpointPlacer.Placement, lastEventId: number | undefined, now: number): ports.AttemptDirectives {
		const {request: {account}, deadlineAt} = this.options;
		return {
			endpointId: placement.entry.id,
			deadlineMs: Math.max(1, Math.floor(deadlineAt - now)),
			account: account?.name,
			weightVersion: placement.weightVersion,
			cacheNamespace: placement.cacheNamespace,
			fetchCacheFrom: placement.fetchCacheFrom,
			saveCacheTo: placement.saveCacheTo,
			priority: placement.enginePriority,
			lastEventId,
		};
	}

	#computeMaxConnections(pool: string): number {
		const {request, dependencies} = this.options;
		const limit = request.table.findPool(pool)?.connectionLimit ?? 1;
		return Math.max(2, Math.floor(limit / dependencies.fleet.vmCount * connectionShareFactor));
	}
}

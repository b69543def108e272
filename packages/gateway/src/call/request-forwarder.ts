import * as core from '@bluebellmast/core';
import * as endpoints from '../endpoints/index.js';
import type * as endpointPlacer from '../placement/endpoint-placer.js';
import type * as ports from '../ports/index.js';
import * as clocks from '../util/clocks.js';
import * as responseRelay from './response-relay.js';
import * as responseTimer from './response-timer.js';
import * as attemptTimers from './attempt-timers.js';
import * as attemptRecorder from './attempt-recorder.js';
import * as requestContext from './request-context.js';
import type * as requestDispatcher from './request-dispatcher.js';
import * as refusals from './refusal.js';
import * as endpointFinder from './endpoint-finder.js';
import * as retryRules from './retry-rules.js';
import type * as sentAttempt from './sent-attempt.js';

/** Time after the deadline during which the endpoint can still report the timeout itself, in milliseconds. */
const lateResponseGraceMs = 40;
/** Connections that this VM may open to an endpoint, relative to its equal share of the connection limit. */
const connectionShareFactor = 1.5;

/** Why a request is not sent again, by the refusal that it would have got if no response had begun. */
const obstaclesByRefusal: ReadonlyMap<refusals.RefusalCode, core.log.RetryObstacle> = new Map([
	[refusals.RefusalCode.CallerDisconnected, core.log.RetryObstacle.CallerDisconnected],
	[refusals.RefusalCode.DeadlineTooClose, core.log.RetryObstacle.DeadlinePassed],
	[refusals.RefusalCode.PartQuarantined, core.log.RetryObstacle.PartQuarantined],
	[refusals.RefusalCode.ConfigUnavailable, core.log.RetryObstacle.NotAuthorized],
]);

/** Forwards one request to endpoints, with retries, until a response is relayed or the request is refused. */
export class RequestForwarder {
	readonly #failedEndpoints = new Set<string>();
	readonly #deadlineAt: number;
	readonly #relay: responseRelay.ResponseRelay;
	readonly #pool: core.routing.PoolName;
	readonly #promptKeys: core.quarantine.PromptKeys | undefined;
	#isTimedOut = false;
	#isResponseClosed = false;
	readonly #timers: attemptTimers.AttemptTimers;
	readonly #responseTimer = new responseTimer.ResponseTimer();
	readonly #recorder: attemptRecorder.AttemptRecorder;
	readonly #endpointFinder: endpointFinder.EndpointFinder;
	readonly #rules: retryRules.RetryRules;

	constructor(private readonly request: requestContext.RoutedRequest, private readonly dependencies: requestDispatcher.DispatcherDependencies) {
		const {route, head, arrivedAt, res} = request;
		this.#deadlineAt = arrivedAt + Math.min(head.deadlineMs ?? Infinity, route.timeoutMs);
		this.#pool = core.routing.choosePool(route, dependencies.random()) ?? '';
		this.#relay = new responseRelay.ResponseRelay(res, {
			isStream: route.kind === core.routing.RouteKind.Streaming,
			acceptsHead: responseHead => this.#handleHead(responseHead),
			onProgress: () => {
				this.#recordProgress();
			},
			onSequenceError: () => {
				this.#rules.attempts.at(-1)?.attempt.abort(endpoints.AttemptFault.InvalidSequence);
			},
			onEventTooLarge: () => {
				this.#rules.attempts.at(-1)?.attempt.abort(endpoints.AttemptFault.EndlessResponse);
			},
			onDrain: () => {
				this.#rules.attempts.at(-1)?.attempt.resume();
			},
		});
		this.#relay.lastEventId = head.lastEventId;
		this.#promptKeys = head.prompt && core.quarantine.createPromptKeys(head.prompt.model, head.prompt.parts.map(part => part.id));
		this.#rules = new retryRules.RetryRules({
			route, deadlineAt: this.#deadlineAt, window: dependencies.retryWindows.of(this.#pool), vmCount: () => dependencies.fleet.vmCount,
		});
		this.#timers = new attemptTimers.AttemptTimers(route);
		this.#recorder = new attemptRecorder.AttemptRecorder(request, this.#promptKeys, dependencies);
		this.#endpointFinder = new endpointFinder.EndpointFinder(request, dependencies, this.#deadlineAt, () => this.#place());
	}

	/** Whether the caller has closed its connection. */
	get #isCallerDisconnected(): boolean {
		return this.#isResponseClosed || requestContext.isCallerDisconnected(this.request);
	}

	/** Forwards the request. @returns A refusal if no response of an endpoint was relayed to the caller. */
	async forward(): Promise<refusals.Refusal | undefined> {
		const onClose = (): void => {
			this.#isResponseClosed = !this.request.res.writableFinished;
			this.#endpointFinder.cancel();
			this.#rules.attempts.at(-1)?.attempt.abort(endpoints.AttemptFault.CallerDisconnected);
		};

		const remainingMs = this.#deadlineAt - this.dependencies.clock.monotonicNow();
		const timer = setTimeout(() => {
			this.#isTimedOut = true;
			this.#endpointFinder.cancel();
			this.#rules.attempts.at(-1)?.attempt.abort(endpoints.AttemptFault.TimedOut);
		}, Math.max(0, remainingMs + lateResponseGraceMs));
		this.request.res.once('close', onClose);
		this.dependencies.retryWindows.of(this.#pool).countRequest(this.dependencies.clock.monotonicNow());
		try {
			return await this.#runAttempts();
		} finally {
			this.request.responseTimes = this.#responseTimer.getTimes(this.request.arrivedAt);
			clearTimeout(timer);
			this.request.res.off('close', onClose);
		}
	}

	/** Aborts the current attempt if it is at the given endpoint and the request may be retried at another one. */
	abortSilentAttempt(endpoint: string): void {
		const last = this.#rules.attempts.at(-1);
		const isAtEndpoint = last !== undefined && last.end === undefined && last.placement.entry.id === endpoint;
		if (isAtEndpoint) {
			this.#abortStalled(last);
		}
	}

	/** Aborts the current attempt if it has not started and the weights of its endpoint may soon no longer be used. */
	abortOutdatedAttempt(now: clocks.Instant): void {
		const last = this.#rules.attempts.at(-1);
		const isWaiting = last !== undefined && last.end === undefined && !last.hasResponseStarted;
		if (isWaiting && this.dependencies.placer.mustTakeBack(this.request, last.placement, now)) {
			last.attempt.abort(endpoints.AttemptFault.WeightsOutdated);
		}
	}

	/** Aborts the current attempt if its connection is not open and its endpoint has asked for a pause meanwhile. */
	abortPausedAttempt(): void {
		const last = this.#rules.attempts.at(-1);
		const isUnsent = last !== undefined && last.end === undefined && last.attempt.progress === core.request.AttemptProgress.Connecting;
		if (isUnsent && this.dependencies.pauses.isPaused(last.placement.entry)) {
			last.attempt.abort(endpoints.AttemptFault.EndpointPaused);
		}
	}

	/** Ends the wait or the attempt of a request with a quarantined part, unless its response has begun. */
	abortIfQuarantined(): void {
		if (this.#findQuarantined() === undefined) {
			return;
		}

		this.#endpointFinder.cancel();
		const last = this.#rules.attempts.at(-1);
		if (last !== undefined && last.end === undefined && !last.hasResponseStarted) {
			last.attempt.abort(endpoints.AttemptFault.PartQuarantined);
		}
	}

	async #runAttempts(): Promise<refusals.Refusal | undefined> {
		for (;;) {
			const refusal = this.#findRefusal();
			if (refusal !== undefined) {
				return this.#fail(refusal);
			}

			const searchResult = await this.#endpointFinder.find(this.#pool); // eslint-disable-line no-await-in-loop -- Attempts follow one another.
			// During the wait the caller may have disconnected, its key may have been revoked, or the configuration may have become too old.
			const lateRefusal = this.#findRefusal();
			if (lateRefusal !== undefined) {
				return this.#fail(lateRefusal);
			}

			if (searchResult.placement === undefined) {
				const {retryAfterMs, inputs} = searchResult;
				return this.#fail({code: refusals.RefusalCode.NoEndpoint, retryAfterMs, inputs});
			}

			const end = await this.#send(searchResult.placement); // eslint-disable-line no-await-in-loop -- Attempts follow one another.
			if (end.fault === undefined && !this.#relay.hasIncompleteEvent && !this.#relay.hasSequenceError) {
				this.#relay.complete();
				return undefined;
			}

			this.#failedEndpoints.add(searchResult.placement.entry.id);
			this.request.obstacle = this.#findObstacle(end);
			if (this.request.obstacle !== undefined) {
				return this.#fail({code: refusals.RefusalCode.NoEndpoint, retryAfterMs: this.#endpointFinder.computeRetryAfterMs(this.#pool)});
			}
		}
	}

	/** Returns why the request may not be sent now, regardless of endpoints. */
	#findRefusal(): refusals.Refusal | undefined {
		if (this.#isCallerDisconnected) {
			return {code: refusals.RefusalCode.CallerDisconnected};
		}

		if (this.#isTimedOut || this.dependencies.clock.monotonicNow() >= this.#deadlineAt) {
			return {code: refusals.RefusalCode.DeadlineTooClose};
		}

		const quarantined = this.#findQuarantined();
		if (quarantined !== undefined) {
			const {part, releasedInMs} = quarantined;
			return {code: refusals.RefusalCode.PartQuarantined, retryAfterMs: releasedInMs, inputs: {part, tries: this.#rules.attemptCount}};
		}

		return this.dependencies.authorizer.maySend(this.request)
			? undefined
			: {code: refusals.RefusalCode.ConfigUnavailable, retryAfterMs: refusals.noEndpointRetryAfterMs, inputs: {tries: this.#rules.attemptCount}};
	}

	#findQuarantined(): core.quarantine.QuarantineMatch | undefined {
		return this.dependencies.quarantine.match(this.#promptKeys?.sharedParts ?? []);
	}

	/** Chooses an endpoint; one at which the request failed is chosen again only if there is no other. */
	#place(): endpointPlacer.Placement | undefined {
		const {placer, clock} = this.dependencies;
		const now = clocks.readInstant(clock);
		return placer.place(this.request, this.#pool, this.#failedEndpoints, now)
			?? (this.#failedEndpoints.size > 0 ? placer.place(this.request, this.#pool, new Set(), now) : undefined);
	}

	async #send(placement: endpointPlacer.Placement): Promise<endpoints.AttemptResult> {
		const {clock} = this.dependencies;
		const {entry} = placement;
		const now = clock.monotonicNow();
		this.#rules.attemptCount += 1;
		const pool = this.dependencies.connections.poolFor(entry);
		const connection = pool.acquire({requiresFresh: !this.#rules.isIdempotent}, this.#computeMaxConnections(), now);
		if (connection === undefined) {
			return {progress: core.request.AttemptProgress.NotStarted, fault: endpoints.AttemptFault.ConnectionLimitReached};
		}

		const id = `${this.request.head.requestId}#${this.#rules.attempts.length}`;
		const attempt = new endpoints.EndpointAttempt({
			pool,
			connection,
			protocol: this.dependencies.protocol,
			request: {
				method: this.request.head.method,
				target: this.request.head.target,
				requestId: this.request.head.requestId,
				headers: this.dependencies.protocol.encodeRequestHead(this.request.head, this.#createDirectives(placement, now)),
				body: this.request.body,
			},
			sink: this.#relay,
			onHeadReceived: head => {
				this.#recorder.recordNotice(entry, head);
			},
			onMatchingHead: head => {
				this.#recorder.recordPause(placement, head);
				this.#recorder.recordAlive(sent, connection);
			},
			monotonicNow: clock.monotonicNow,
		});
		const sent: sentAttempt.SentAttempt = {
			placement, attempt, id, hasResponseStarted: false,
		};
		if (this.#rules.attempts.length > 0) {
			this.dependencies.retryWindows.of(this.#pool).countRetry(now);
		}

		this.#rules.attempts.push(sent);
		this.#recorder.recordSent(sent, this.#rules.attempts.length);
		this.#timers.start(() => {
			this.#abortUnanswered(sent);
		});
		sent.end = await attempt.run();
		this.#timers.stop();
		this.#recorder.recordEnd(sent, sent.end);
		if (this.#isInterrupted(sent.end)) {
			this.#rules.interruptedCount += sent.hasResponseStarted ? 1 : 0;
			this.#recorder.recordInterruption(sent);
		} else if (sent.end.fault === undefined && attempt.keepsConnection) {
			this.#recorder.recordCompletion(sent, connection);
		}

		return sent.end;
	}

	/** Whether the endpoint broke an attempt off, other than by a refusal. */
	#isInterrupted({fault, progress}: endpoints.AttemptResult): boolean {
		const isRefused = progress === core.request.AttemptProgress.RefusedBeforeExecution;
		return fault === undefined ? this.#relay.hasIncompleteEvent : fault === endpoints.AttemptFault.ConnectionLost && !isRefused;
	}

	/** Aborts an attempt without progress if the request may be retried at another endpoint. @returns Whether it was aborted. */
	#abortStalled(sent: sentAttempt.SentAttempt): boolean {
		const obstacle = this.#rules.findExecutedObstacle(1, this.dependencies.clock.monotonicNow());
		this.#recorder.recordSilence(sent, obstacle);
		if (obstacle === undefined) {
			sent.attempt.abort(endpoints.AttemptFault.EndpointSilent);
		}

		return obstacle === undefined;
	}

	/** Aborts an attempt of a safe request that gets no response. */
	#abortUnanswered(sent: sentAttempt.SentAttempt): void {
		if (!sent.hasResponseStarted && this.#abortStalled(sent)) {
			// Idle connections to the same endpoint may be stalled as well.
			this.dependencies.connections.closeIdle(sent.placement.entry.id);
		}
	}

	#createDirectives(placement: endpointPlacer.Placement, now: number): ports.AttemptDirectives {
		const {account} = this.request;
		return {
			endpointId: placement.entry.id,
			deadlineMs: Math.max(1, Math.floor(this.#deadlineAt - now)),
			account: account?.name,
			weightVersion: placement.weightVersion,
			cacheNamespace: placement.cacheNamespace,
			fetchCacheFrom: placement.fetchCacheFrom,
			saveCacheTo: placement.saveCacheTo,
			priority: placement.enginePriority,
			lastEventId: this.#relay.lastEventId,
		};
	}

	#computeMaxConnections(): number {
		const limit = this.request.table.findPool(this.#pool)?.connectionLimit ?? 1;
		return Math.max(2, Math.floor(limit / this.dependencies.fleet.vmCount * connectionShareFactor));
	}

	#recordProgress(): void {
		const sent = this.#rules.attempts.at(-1);
		if (sent !== undefined) {
			this.#timers.restart(() => {
				this.#abortStalled(sent);
			});
			this.#responseTimer.recordPart(this.dependencies.clock.monotonicNow());
			this.#recorder.recordProgress(sent);
		}
	}

	/** Handles the head of a response. @returns Whether the response is relayed. */
	#handleHead(head: ports.ResponseHead): boolean {
		this.#recorder.recordHead(this.#rules.attempts.at(-1)!, head);
		return this.#acceptsStatus(head.status);
	}

	/** Whether a response is relayed; a server error is not, as long as the request may be retried. */
	#acceptsStatus(status: number): boolean {
		const isFailure = status >= 500;
		return !isFailure || this.#rules.findExecutedObstacle(0, this.dependencies.clock.monotonicNow()) !== undefined;
	}

	/** Returns what prevents a retry after an attempt has ended; `undefined` if there may be one. */
	#findObstacle(end: endpoints.AttemptResult): core.log.RetryObstacle | undefined {
		if (this.#isCallerDisconnected) {
			return core.log.RetryObstacle.CallerDisconnected;
		}

		if (this.#isTimedOut) {
			return core.log.RetryObstacle.DeadlinePassed;
		}

		return this.#relay.hasSequenceError
			? core.log.RetryObstacle.InvalidSequence
			: this.#rules.findObstacle(end, this.#relay.hasStarted, this.dependencies.clock.monotonicNow());
	}

	/** Ends the request: aborts a response that has started, or returns a refusal that reflects what is known of the outcome. */
	#fail(refusal: refusals.Refusal): refusals.Refusal | undefined {
		if (this.#relay.hasStarted) {
			this.request.obstacle ??= obstaclesByRefusal.get(refusal.code) ?? core.log.RetryObstacle.NoEndpoint;
			this.#relay.abort();
			this.request.isTruncated = !this.#isResponseClosed;
			return undefined;
		}

		if (this.#isResponseClosed) {
			return {code: refusals.RefusalCode.CallerDisconnected};
		}

		const attempts = this.#rules.attempts.map(sent => ({
			id: sent.id, endpoint: sent.placement.entry.id, progress: sent.end?.progress ?? sent.attempt.progress,
		}));
		if (core.request.decideExecution(attempts, false) === core.model.ExecutionState.NotRun) {
			return refusal;
		}

		const isLate = this.#isTimedOut || this.dependencies.clock.monotonicNow() >= this.#deadlineAt;
		return {code: isLate ? refusals.RefusalCode.TimedOut : refusals.RefusalCode.OutcomeUnknown};
	}
}

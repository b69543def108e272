import * as core from '@bluebellmast/core';
import * as clients from '@bluebellmast/kv';
import * as endpoints from '../endpoints/index.js';
import type * as endpointPlacer from '../placement/endpoint-placer.js';
import * as clocks from '../util/clocks.js';
import * as eventLog from '../util/event-log.js';
import * as responseRelay from './response-relay.js';
import * as responseTimer from './response-timer.js';
import * as activeAttempts from './active-attempts.js';
import * as attemptResponses from './attempt-responses.js';
import type * as attemptTarget from './attempt-target.js';
import * as attemptTimers from './attempt-timers.js';
import * as attemptRecorder from './attempt-recorder.js';
import * as attemptSender from './attempt-sender.js';
import * as requestContext from './request-context.js';
import type * as requestDispatcher from './request-dispatcher.js';
import * as executionRefusal from './execution-refusal.js';
import * as refusalObstacle from './refusal-obstacle.js';
import * as refusals from './refusal.js';
import * as endpointFinder from './endpoint-finder.js';
import * as retryRules from './retry-rules.js';
import * as sendConditions from './send-conditions.js';
import type * as sentAttempt from './sent-attempt.js';

/** Time after the deadline during which the endpoint can still report the timeout itself, in milliseconds. */
const lateResponseGraceMs = 40;

/** Forwards one request to endpoints, with retries, until a response is relayed or the request is refused. */
export class RequestForwarder {
	readonly #deadlineAt: number;
	readonly #relay: responseRelay.ResponseRelay;
	readonly #pool: core.routing.PoolName;
	readonly #conditions: sendConditions.SendConditions;
	#isTimedOut = false;
	/** When the request was sent first. */
	#firstSentAt: number | undefined;
	#isResponseClosed = false;
	readonly #timers: attemptTimers.AttemptTimers;
	readonly #responseTimer = new responseTimer.ResponseTimer();
	readonly #recorder: attemptRecorder.AttemptRecorder;
	readonly #endpointFinder: endpointFinder.EndpointFinder;
	readonly #rules: retryRules.RetryRules;
	readonly #active: activeAttempts.ActiveAttempts;
	readonly #responses: attemptResponses.AttemptResponses;
	readonly #sender: attemptSender.AttemptSender;

	constructor(private readonly request: requestContext.RoutedRequest, private readonly dependencies: requestDispatcher.ForwarderDependencies) {
		const {route, head, arrivedAt, res} = request;
		this.#deadlineAt = arrivedAt + Math.min(head.deadlineMs ?? Infinity, route.timeoutMs);
		this.#pool = core.routing.choosePool(route, dependencies.random()) ?? '';
		this.#relay = new responseRelay.ResponseRelay(res, {
			isStream: route.kind === core.routing.RouteKind.Streaming,
			isResumable: route.isResumable,
			onProgress: () => {
				this.#recordProgress();
			},
			onSequenceError: () => {
				this.#active.current?.attempt.abort(endpoints.AttemptFault.InvalidSequence);
			},
			onEventTooLarge: () => {
				this.#active.current?.attempt.abort(endpoints.AttemptFault.EndlessResponse);
			},
			onDrain: () => {
				this.#active.current?.attempt.resume();
			},
			onEvicted() {
				dependencies.log.write(eventLog.LogEvent.CallerTurnedAway, {reason: core.log.TurnAwayReason.ResponseMemory, address: request.req.socket.remoteAddress});
			},
			memory: dependencies.responseMemory,
		});
		this.#relay.lastEventId = head.lastEventId;
		const promptKeys = head.prompt && core.quarantine.createPromptKeys(head.prompt.model, head.prompt.parts.map(part => part.id), head.requestId);
		this.#rules = new retryRules.RetryRules({
			route,
			hasUnresumableResponse: () => this.#relay.hasStarted && !(route.isResumable && this.#relay.isEventStream),
			deadlineAt: this.#deadlineAt,
			window: now => dependencies.retryWindows.of(this.#pool, now),
			vmCount: () => dependencies.fleet.vmCount,
		});
		this.#timers = new attemptTimers.AttemptTimers(route);
		this.#recorder = new attemptRecorder.AttemptRecorder(request, promptKeys, dependencies);
		this.#conditions = new sendConditions.SendConditions(request, {...dependencies, deadlineAt: this.#deadlineAt, sharedParts: promptKeys?.sharedParts ?? []});
		this.#endpointFinder = new endpointFinder.EndpointFinder(request, dependencies, this.#deadlineAt, this.#pool);
		this.#active = new activeAttempts.ActiveAttempts({
			isComplete: sent => this.#responses.isComplete(sent),
			onCurrent: sent => {
				this.#startTimers(sent);
				if (sent.held !== undefined) {
					this.#awaitNextEvent(sent);
				}
			},
			onFailed: sent => {
				this.#handleFailedAlternative(sent);
			},
		});
		this.#responses = new attemptResponses.AttemptResponses({
			relay: this.#relay,
			active: this.#active,
			recorder: this.#recorder,
			onHeld: sent => {
				this.#awaitNextEvent(sent);
			},
			onBegun: sent => {
				this.#recordPart(sent);
			},
			isIdempotent: this.#rules.isIdempotent,
			canSendAgain: () => this.#canSendAgain(),
		});
		this.#sender = new attemptSender.AttemptSender({
			request,
			deadlineAt: this.#deadlineAt,
			isIdempotent: this.#rules.isIdempotent,
			recorder: this.#recorder,
			dependencies,
			createSink: sent => this.#responses.createSink(sent),
			isInterrupted: (sent, end) => this.#responses.isInterrupted(sent, end),
		});
	}

	/** Whether the caller has closed its connection. */
	get #isCallerDisconnected(): boolean {
		return this.#isResponseClosed || requestContext.isCallerDisconnected(this.request);
	}

	/** Whether the quota of the account must admit the next attempt before it is sent. */
	get #needsGrant(): boolean {
		return this.request.quotaPermit?.isValid === false;
	}

	/** Forwards the request. @returns A refusal if no response of an endpoint was relayed to the caller. */
	async forward(): Promise<refusals.Refusal | undefined> {
		const onClose = (): void => {
			this.#isResponseClosed = !this.request.res.writableFinished;
			this.#endpointFinder.cancel();
			this.#active.abort(this.request.isProcessEnding ? endpoints.AttemptFault.ProcessEnded : endpoints.AttemptFault.CallerDisconnected);
		};

		const now = this.dependencies.clock.monotonicNow();
		const timer = new clients.timeouts.InputTimer(Math.max(0, this.#deadlineAt - now + lateResponseGraceMs), () => {
			this.#isTimedOut = true;
			this.#endpointFinder.cancel();
			this.#active.abort(endpoints.AttemptFault.TimedOut);
		});
		this.request.res.once('close', onClose);
		this.dependencies.retryWindows.of(this.#pool, now).countRequest(now);
		try {
			return await this.#runAttempts();
		} finally {
			this.request.responseTimes = this.#responseTimer.getTimes(this.request.arrivedAt);
			this.#rules.releaseRetry();
			timer.clear();
			this.request.res.off('close', onClose);
		}
	}

	/** Sends the request to another endpoint as well if its latest attempt is at an endpoint that does not respond. */
	replaceSilentAttempt(endpoint: string): void {
		for (const sent of this.#active.list().filter(({placement}) => placement.entry.id === endpoint)) {
			this.#replaceSilent(sent);
		}
	}

	/** Returns an endpoint with an attempt in progress; `undefined` if there is none. */
	findTarget(endpoint: string): attemptTarget.AttemptTarget | undefined {
		const entry = this.#active.list().find(({placement}) => placement.entry.id === endpoint)?.placement.entry;
		const pool = entry && this.request.table.findPool(entry.pool);
		return entry && pool && {entry, pool};
	}

	/** Aborts the attempts that have not started if the weights of their endpoint may soon no longer be used. */
	abortOutdatedAttempts(now: clocks.Instant): void {
		for (const sent of this.#listWaiting()) {
			if (this.dependencies.placer.mustTakeBack(this.request, sent.placement, now)) {
				sent.attempt.abort(endpoints.AttemptFault.WeightsOutdated);
			}
		}
	}

	/** Aborts the attempts whose connection is not open and whose endpoint has asked for a pause meanwhile. */
	abortPausedAttempts(): void {
		this.#abortConnecting(({placement}) => this.dependencies.pauses.isPaused(placement.entry), endpoints.AttemptFault.EndpointPaused);
	}

	/** Aborts the attempts whose direct connection is not open, at endpoints whose path is interrupted. */
	abortInterruptedAttempts(): void {
		const {paths} = this.dependencies.fleet;
		this.#abortConnecting(({placement, helper}) => helper === undefined && paths.isInterrupted(placement.entry.id), endpoints.AttemptFault.PathInterrupted);
	}

	/** Ends the wait or the attempts of a request with a quarantined part, except for a response that has begun. */
	abortIfQuarantined(): void {
		if (this.#conditions.findQuarantined() === undefined) {
			return;
		}

		this.#endpointFinder.cancel();
		for (const {attempt} of this.#listWaiting()) {
			attempt.abort(endpoints.AttemptFault.PartQuarantined);
		}
	}

	async #runAttempts(): Promise<refusals.Refusal | undefined> {
		const {gracefulShutdown, clock} = this.dependencies;
		for (;;) {
			const refusal = this.#findRefusal();
			if (refusal !== undefined) {
				return this.#fail(refusal);
			}

			const searchResult = await this.#endpointFinder.find(this.#relay.hasStarted); // eslint-disable-line no-await-in-loop -- Attempts follow one another.
			const quotaRefusal = this.#needsGrant ? await this.request.quotaPermit!.acquire() : undefined; // eslint-disable-line no-await-in-loop -- As above.
			// During the wait the caller may have disconnected, its key may have been revoked, or the configuration may have become too old.
			const lateRefusal = this.#findRefusal() ?? quotaRefusal;
			if (lateRefusal !== undefined) {
				return this.#fail(lateRefusal);
			}

			if (searchResult.placement === undefined) {
				const {retryAfterMs, inputs} = searchResult;
				return this.#fail({code: refusals.RefusalCode.NoEndpoint, retryAfterMs, inputs});
			}

			const placement = this.#endpointFinder.confirm(searchResult);
			if (placement === undefined) {
				continue;
			}

			this.#rules.attemptCount += 1;
			const first = this.#send(placement);
			const last = first && await this.#active.run(first); // eslint-disable-line no-await-in-loop -- Attempts follow one another.
			this.#timers.stop();
			if (last !== undefined && this.#responses.isComplete(last)) {
				this.#responses.complete(last);
				gracefulShutdown.recordDuration(this.request.route.name, clock.monotonicNow() - this.#firstSentAt!);
				return undefined;
			}

			this.#endpointFinder.recordFailure((last?.placement ?? placement).entry.id);
			this.request.obstacle = this.#reserveRetry(last?.end?.progress ?? core.request.AttemptProgress.NotStarted);
			if (this.request.obstacle !== undefined) {
				return this.#fail({code: refusals.RefusalCode.NoEndpoint, retryAfterMs: this.#endpointFinder.computeRetryAfterMs()});
			}
		}
	}

	/** Returns why the request may not be sent now, regardless of endpoints. */
	#findRefusal(): refusals.Refusal | undefined {
		const progress = {isTimedOut: this.#isTimedOut, hasStarted: this.#relay.hasStarted, tries: this.#rules.attemptCount};
		return this.#isCallerDisconnected ? {code: refusals.RefusalCode.CallerDisconnected} : this.#conditions.findRefusal(progress);
	}

	/** Sends the request to an endpoint. @returns `undefined` as {@link attemptSender.AttemptSender.send}. */
	#send(placement: endpointPlacer.Placement): sentAttempt.SentAttempt | undefined {
		const now = this.dependencies.clock.monotonicNow();
		const sent = this.#sender.send(placement, this.#rules.attempts.length + 1, this.#relay.lastEventId, now);
		if (sent === undefined) {
			return undefined;
		}

		this.#firstSentAt ??= now;
		this.#rules.recordSent(sent, now);
		return sent;
	}

	#abortConnecting(isConcerned: (sent: sentAttempt.SentAttempt) => boolean, fault: endpoints.AttemptFault): void {
		for (const sent of this.#active.list()) {
			if (sent.attempt.progress === core.request.AttemptProgress.Connecting && isConcerned(sent)) {
				sent.attempt.abort(fault);
			}
		}
	}

	#listWaiting(): sentAttempt.SentAttempt[] {
		return this.#active.list().filter(sent => !sent.hasResponseStarted);
	}

	/**
	 * Sends the request to another endpoint as well, as its latest attempt is silent.
	 *
	 * @param mayRepeat - Whether an endpoint at which the request failed is chosen if there is no other.
	 * @returns Whether that was possible.
	 */
	#replaceSilent(silent: sentAttempt.SentAttempt, mayRepeat = true): boolean {
		if (silent !== this.#active.latest || !this.#rules.isIdempotent || this.#isTimedOut || this.#isCallerDisconnected || this.#relay.isBlocked) {
			return false;
		}

		const obstacle = this.#startReplacement(mayRepeat);
		this.#recorder.recordSilence(silent, obstacle);
		return obstacle === undefined;
	}

	#startReplacement(mayRepeat: boolean): core.log.RetryObstacle | undefined {
		const now = clocks.readInstant(this.dependencies.clock);
		const refusal = this.#findRefusal();
		const obstacle = refusal === undefined ? this.#rules.findExecutedObstacle(now.monotonic) : refusalObstacle.getObstacle(refusal);
		if (obstacle !== undefined) {
			return obstacle;
		}

		if (this.#needsGrant) {
			void this.#replaceWhenGranted(mayRepeat);
			return core.log.RetryObstacle.QuotaUsed;
		}

		const active = this.#active.list().map(sent => sent.placement.entry.id);
		const replacement = this.#endpointFinder.findReplacement(active, mayRepeat, placement => this.#send(placement));
		if (replacement === undefined) {
			return core.log.RetryObstacle.NoEndpoint;
		}

		this.#rules.attemptCount += 1;
		this.#active.addReplacement(replacement);
		this.#timers.refresh();
		return undefined;
	}

	/** Sends the request to another endpoint as well once the quota of its account admits that. */
	async #replaceWhenGranted(mayRepeat: boolean): Promise<void> {
		const {latest} = this.#active;
		const refusal = await this.request.quotaPermit!.acquire();
		if (refusal === undefined && latest?.end === undefined && latest === this.#active.latest && !this.#needsGrant) {
			this.#replaceSilent(latest!, mayRepeat);
		}
	}

	/** Looks for another replacement when one has failed, so that the request doesn't depend on the silent endpoint alone. */
	#handleFailedAlternative(sent: sentAttempt.SentAttempt): void {
		this.#endpointFinder.recordFailure(sent.placement.entry.id);
		const {current} = this.#active;
		if (current !== undefined && current !== sent) {
			this.#replaceSilent(current, false);
		}
	}

	#startTimers(sent: sentAttempt.SentAttempt): void {
		this.#timers.start(() => {
			const {latest} = this.#active;
			if (!sent.hasResponseStarted && latest !== undefined && this.#replaceSilent(latest)) {
				// Idle connections to the same endpoint may be stalled as well.
				this.dependencies.connections.closeIdle(latest.placement.entry.id);
			}
		});
	}

	#awaitNextEvent(sent: sentAttempt.SentAttempt): void {
		this.#timers.restart(() => {
			this.#replaceSilent(this.#active.latest ?? sent);
		});
	}

	/** Records that the current attempt delivers. */
	#recordProgress(): void {
		const sent = this.#active.current;
		if (sent !== undefined) {
			this.#active.cancelReplacements();
			this.#recordPart(sent);
		}
	}

	/** Records that a part of the response has arrived that is relayed, if only its head. */
	#recordPart(sent: sentAttempt.SentAttempt): void {
		this.#awaitNextEvent(sent);
		this.#responseTimer.recordPart(this.dependencies.clock.monotonicNow());
		this.#recorder.recordProgress(sent);
	}

	/** Whether another endpoint could take the request now; reserves a retry then. */
	#canSendAgain(): boolean {
		return this.#findRefusal() === undefined
			&& this.#endpointFinder.place()?.hasCapacity === true
			&& this.#rules.reserveExecutedRetry(this.dependencies.clock.monotonicNow()) === undefined;
	}

	/** Reserves a retry after an attempt has ended. @returns What prevents it. */
	#reserveRetry(progress: core.request.AttemptProgress): core.log.RetryObstacle | undefined {
		if (this.request.isProcessEnding) {
			return core.log.RetryObstacle.ShuttingDown;
		}

		if (this.#isCallerDisconnected) {
			return core.log.RetryObstacle.CallerDisconnected;
		}

		if (this.#isTimedOut) {
			return core.log.RetryObstacle.DeadlinePassed;
		}

		return this.#relay.hasSequenceError
			? core.log.RetryObstacle.InvalidSequence
			: this.#rules.reserveRetry(progress, this.dependencies.clock.monotonicNow());
	}

	/** Ends the request: aborts a response that has started, relays the error response of an endpoint, or returns a refusal that reflects what is known of the outcome. */
	#fail(refusal: refusals.Refusal): refusals.Refusal | undefined {
		if (this.#relay.hasStarted) {
			this.request.obstacle ??= refusalObstacle.getObstacle(refusal);
			this.#relay.abort();
			this.request.isTruncated = this.request.isProcessEnding === true || !this.#isResponseClosed;
			return undefined;
		}

		if (this.request.isProcessEnding) {
			return {code: this.request.isSent ? refusals.RefusalCode.OutcomeUnknown : refusals.RefusalCode.ShuttingDown};
		}

		if (this.#isResponseClosed) {
			return {code: refusals.RefusalCode.CallerDisconnected};
		}

		if (this.#responses.completeWithError(this.#rules.attempts)) {
			return undefined;
		}

		const isLate = this.#isTimedOut || this.dependencies.clock.monotonicNow() >= this.#deadlineAt;
		return executionRefusal.createExecutionRefusal(refusal, this.#rules.attempts, isLate);
	}
}

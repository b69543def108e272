import * as core from '@bluebellmast/core';
import * as endpoints from '../endpoints/index.js';
import type * as endpointPlacer from '../placement/endpoint-placer.js';
import type * as ports from '../ports/index.js';
import * as answerRelay from './answer-relay.js';
import * as answerTiming from './answer-timing.js';
import * as attemptNotes from './attempt-notes.js';
import * as callContext from './call-context.js';
import type * as callDispatcher from './call-dispatcher.js';
import * as refusals from './refusal.js';
import * as roomFinder from './room-finder.js';
import type * as sentAttempt from './sent-attempt.js';

/** Sends beyond the attempts of the route that may follow refusals and failed connections, since nothing ran there. */
const maxExtraSends = 2;
/** Time that an answer must have left to be worth another send, in milliseconds. */
const minRetryTimeMs = 30;
/** Time that an endpoint has beyond its own deadline to say so itself, in milliseconds. */
const lateAnswerGraceMs = 40;
/**
 * Silence after which a read is sent to another endpoint, as a multiple of its target latency, and the least such time in
 * milliseconds: answers of both deployments' plain services take a third of their targets, and a connection that went
 * silent answers nothing at all.
 */
const stalledFactor = 3;
const minStalledMs = 300;
/** Part of the connections of an endpoint that this VM opens beyond its even share. */
const connectionShareFactor = 1.5;

/** The life of one request from its first send to its end. */
export class CallRun {
	readonly #sent: sentAttempt.SentAttempt[] = [];
	readonly #excluded = new Set<string>();
	readonly #deadlineAt: number;
	readonly #relay: answerRelay.AnswerRelay;
	readonly #pool: core.routing.PoolName;
	#isTimedOut = false;
	#isCallerGone = false;
	readonly #timing = new answerTiming.AnswerTiming();
	readonly #notes: attemptNotes.AttemptNotes;
	readonly #rooms: roomFinder.RoomFinder;
	/** Sends that were tried, those without a free connection included. */
	#tries = 0;

	constructor(private readonly call: callContext.RoutedCall, private readonly parts: callDispatcher.DispatchParts) {
		const {route, head, arrivedAt, res} = call;
		this.#deadlineAt = arrivedAt + Math.min(head.deadlineMs ?? Infinity, route.timeoutMs);
		this.#pool = core.routing.choosePool(route, parts.random()) ?? '';
		this.#relay = new answerRelay.AnswerRelay(res, {
			isStream: route.kind === core.routing.RouteKind.Streaming,
			wantsAnswer: answer => this.#takeHead(answer),
			onProgress: () => {
				this.#noteProgress();
			},
			onDrain: () => {
				this.#sent.at(-1)?.attempt.resume();
			},
		});
		this.#relay.lastEventId = head.lastEventId;
		this.#notes = new attemptNotes.AttemptNotes(call, parts);
		this.#rooms = new roomFinder.RoomFinder(call, parts, this.#deadlineAt, () => this.#place());
	}

	/** Whether the request may run more than once. */
	get #isIdempotent(): boolean {
		const {route} = this.call;
		return route.kind === core.routing.RouteKind.Safe
			|| (route.kind === core.routing.RouteKind.Streaming && route.isResumable);
	}

	/** Whether the caller has left, seen by the close of its answer or of its connection. */
	get #hasCallerLeft(): boolean {
		return this.#isCallerGone || callContext.isCallerGone(this.call);
	}

	/** Runs the request. @returns A refusal when nothing was passed on to the caller. */
	async run(): Promise<refusals.Refusal | undefined> {
		const onClose = (): void => {
			this.#isCallerGone = !this.call.res.writableFinished;
			this.#rooms.cancel();
			this.#sent.at(-1)?.attempt.abort(endpoints.AttemptFault.CallerDisconnected);
		};

		const remainingMs = this.#deadlineAt - this.parts.clock.steadyNow();
		const timer = setTimeout(() => {
			this.#isTimedOut = true;
			this.#rooms.cancel();
			this.#sent.at(-1)?.attempt.abort(endpoints.AttemptFault.TimedOut);
		}, Math.max(0, remainingMs + lateAnswerGraceMs));
		this.call.res.once('close', onClose);
		this.parts.retries.of(this.#pool).countRequest(this.parts.clock.steadyNow());
		try {
			return await this.#tryEndpoints();
		} finally {
			this.call.timing = this.#timing.describe(this.call.arrivedAt);
			clearTimeout(timer);
			this.call.res.off('close', onClose);
		}
	}

	/** Gives up a silent endpoint where the request may go on elsewhere. */
	leaveEndpoint(endpoint: string): void {
		const last = this.#sent.at(-1);
		const isThere = last !== undefined && last.end === undefined && last.placement.entry.id === endpoint;
		if (isThere && this.#isIdempotent && this.#mayRunAgain(1)) {
			last.attempt.abort(endpoints.AttemptFault.EndpointSilent);
		}
	}

	async #tryEndpoints(): Promise<refusals.Refusal | undefined> {
		for (;;) {
			const refusal = this.#findObstacle();
			if (refusal !== undefined) {
				return this.#giveUp(refusal);
			}

			const room = await this.#rooms.find(this.#pool); // eslint-disable-line no-await-in-loop -- Attempts follow one another.
			// The wait for room may have outlasted the caller, the key or the trust in the configuration.
			const lateRefusal = this.#findObstacle();
			if (lateRefusal !== undefined) {
				return this.#giveUp(lateRefusal);
			}

			if (room.placement === undefined) {
				const {retryAfterMs, inputs} = room;
				return this.#giveUp({code: refusals.RefusalCode.NoEndpoint, retryAfterMs, inputs});
			}

			const end = await this.#send(room.placement); // eslint-disable-line no-await-in-loop -- Attempts follow one another.
			if (end.fault === undefined && !this.#relay.endsWithinEvent && !this.#relay.hasWrongOrder) {
				this.#relay.finish();
				return undefined;
			}

			this.#excluded.add(room.placement.entry.id);
			if (!this.#mayTryAgain(end)) {
				return this.#giveUp({code: refusals.RefusalCode.NoEndpoint, retryAfterMs: refusals.noEndpointRetryMs});
			}
		}
	}

	/** Returns why the request may not be sent now, apart from endpoints. */
	#findObstacle(): refusals.Refusal | undefined {
		if (this.#hasCallerLeft) {
			return {code: refusals.RefusalCode.CallerGone};
		}

		if (this.#isTimedOut || this.parts.clock.steadyNow() >= this.#deadlineAt) {
			return {code: refusals.RefusalCode.DeadlineTooClose};
		}

		return this.parts.trust.maySend(this.call)
			? undefined
			: {code: refusals.RefusalCode.ConfigUnavailable, retryAfterMs: refusals.noEndpointRetryMs, inputs: {tries: this.#tries}};
	}

	/** Chooses an endpoint; one that failed the request may get it again when there is no other. */
	#place(): endpointPlacer.Placement | undefined {
		const now = this.parts.clock.steadyNow();
		const {placer} = this.parts;
		return placer.place(this.call, this.#pool, this.#excluded, now)
			?? (this.#excluded.size > 0 ? placer.place(this.call, this.#pool, new Set(), now) : undefined);
	}

	async #send(placement: endpointPlacer.Placement): Promise<endpoints.AttemptResult> {
		const {clock} = this.parts;
		const {entry} = placement;
		const now = clock.steadyNow();
		this.#tries += 1;
		const pool = this.parts.connections.poolFor(entry);
		const connection = pool.acquire({requiresFresh: !this.#isIdempotent}, this.#maxConnections(), now);
		if (connection === undefined) {
			return {progress: core.request.AttemptProgress.NotStarted, fault: endpoints.AttemptFault.NoConnection};
		}

		const id = `${this.call.head.requestId}#${this.#sent.length}`;
		const attempt = new endpoints.EndpointAttempt({
			pool,
			connection,
			protocol: this.parts.protocol,
			request: {
				method: this.call.head.method,
				target: this.call.head.target,
				requestId: this.call.head.requestId,
				headers: this.parts.protocol.encodeRequestHead(this.call.head, this.#directives(placement, now)),
				body: this.call.body,
			},
			sink: this.#relay,
			steadyNow: clock.steadyNow,
		});
		const sent: sentAttempt.SentAttempt = {
			placement, attempt, id, hasBegun: false,
		};
		if (this.#sent.length > 0) {
			this.parts.retries.of(this.#pool).countRetry(now);
		}

		this.#sent.push(sent);
		this.#notes.noteSent(sent, this.#sent.length);
		const stallTimer = this.#watchForStall(sent);
		sent.end = await attempt.run();
		clearTimeout(stallTimer);
		this.#notes.noteEnd(sent, sent.end);
		return sent.end;
	}

	/** Gives up an attempt at a read that is not answered, where another endpoint may answer in time. */
	#watchForStall(sent: sentAttempt.SentAttempt): NodeJS.Timeout | undefined {
		const {route} = this.call;
		if (route.kind !== core.routing.RouteKind.Safe) {
			return undefined;
		}

		return setTimeout(() => {
			if (!sent.hasBegun && this.#mayRunAgain(1)) {
				// Connections that were opened along with this one may be as silent.
				this.parts.connections.closeIdle(sent.placement.entry.id);
				sent.attempt.abort(endpoints.AttemptFault.EndpointSilent);
			}
		}, Math.max(minStalledMs, stalledFactor * route.targetLatencyMs));
	}

	#directives(placement: endpointPlacer.Placement, now: number): ports.AttemptDirectives {
		const {account} = this.call;
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

	#maxConnections(): number {
		const limit = this.call.table.findPool(this.#pool)?.connectionLimit ?? 1;
		return Math.max(2, Math.floor(limit / this.parts.fleet.vmCount * connectionShareFactor));
	}

	#noteProgress(): void {
		const sent = this.#sent.at(-1);
		if (sent !== undefined) {
			this.#timing.note(this.parts.clock.steadyNow());
			this.#notes.noteProgress(sent);
		}
	}

	/** Takes the head of an answer. @returns Whether the answer is passed on. */
	#takeHead(head: ports.ResponseHead): boolean {
		this.#notes.noteHead(this.#sent.at(-1)!, head);
		return this.#wantsAnswer(head.status);
	}

	/** An endpoint's own failure of a request that may be repeated is not passed on while another try is allowed. */
	#wantsAnswer(status: number): boolean {
		const isFailure = status >= 500;
		return !isFailure || !this.#isIdempotent || !this.#mayRunAgain(0);
	}

	#mayTryAgain(end: endpoints.AttemptResult): boolean {
		if (this.#hasCallerLeft || this.#isTimedOut || this.#relay.hasWrongOrder) {
			return false;
		}

		if (this.#relay.hasBegun && !this.call.route.isResumable) {
			return false;
		}

		if (end.progress === core.request.AttemptProgress.RefusedBeforeExecution) {
			return this.#maySendAgain() && this.#hasRetryBudget();
		}

		const hasArrived = end.progress !== core.request.AttemptProgress.NotStarted
			&& end.progress !== core.request.AttemptProgress.Connecting;
		return hasArrived ? this.#isIdempotent && this.#mayRunAgain(0) : this.#maySendAgain();
	}

	/** Whether a request that has not run may be sent once more. */
	#maySendAgain(): boolean {
		return this.#tries < this.call.route.maxAttempts + maxExtraSends && this.#hasTimeLeft();
	}

	/**
	 * Whether a request that may have run may run at another endpoint.
	 *
	 * @param running - Attempts under way that count as runs, too.
	 */
	#mayRunAgain(running: number): boolean {
		const runs = this.#sent.filter(sent => sent.end !== undefined && !core.request.isKnownNotExecuted({
			id: sent.id, endpoint: sent.placement.entry.id, progress: sent.end.progress,
		})).length;
		const current = this.#sent.some(sent => sent.end === undefined) ? 1 : 0;
		return runs + Math.max(running, current) < this.call.route.maxAttempts && this.#hasTimeLeft() && this.#hasRetryBudget();
	}

	#hasTimeLeft(): boolean {
		return this.parts.clock.steadyNow() + minRetryTimeMs < this.#deadlineAt;
	}

	#hasRetryBudget(): boolean {
		return this.parts.retries.of(this.#pool).allowsRetry(this.parts.fleet.vmCount, this.parts.clock.steadyNow());
	}

	/** Ends the request: cuts an answer that has begun, or names what is known of the outcome. */
	#giveUp(refusal: refusals.Refusal): refusals.Refusal | undefined {
		if (this.#relay.hasBegun) {
			this.#relay.cut();
			this.call.isCut = !this.#isCallerGone;
			return undefined;
		}

		if (this.#isCallerGone) {
			return {code: refusals.RefusalCode.CallerGone};
		}

		const attempts = this.#sent.map(sent => ({
			id: sent.id, endpoint: sent.placement.entry.id, progress: sent.end?.progress ?? sent.attempt.progress,
		}));
		if (core.request.decideExecution(attempts, false) === core.model.ExecutionState.NotRun) {
			return refusal;
		}

		const isLate = this.#isTimedOut || this.parts.clock.steadyNow() >= this.#deadlineAt;
		return {code: isLate ? refusals.RefusalCode.TimedOut : refusals.RefusalCode.OutcomeUnknown};
	}
}

import * as core from '@bluebellmast/core';
import type * as sentAttempt from './sent-attempt.js';

const {RetryObstacle: obstacles} = core.log;
const {AttemptProgress: progresses} = core.request;

/** Attempts allowed beyond those of the route after refusals and failed connections, since the request was not executed there. */
const maxExtraAttempts = 2;
/** Interrupted responses after which a request is not retried, since it may be what ends the endpoints. */
const maxInterruptions = 2;
/** Time that must remain before the deadline for a retry, in milliseconds. */
const minRetryTimeMs = 30;

/** What the rules depend on, besides the attempts of the request. */
export type RetryRulesOptions = {
	readonly route: Pick<core.routing.Route, 'kind' | 'isResumable' | 'maxAttempts'>;
	/** Returns whether a response has begun that another endpoint can't continue. */
	readonly hasUnresumableResponse: () => boolean;
	/** In milliseconds of the monotonic clock. */
	readonly deadlineAt: number;
	/** Returns the retry window of the pool. */
	readonly window: (now: number) => core.fleet.RetryWindow;
	/** Returns the number of VMs that share the retry budget. */
	readonly vmCount: () => number;
};

/** Decides whether a request may be sent to another endpoint, from its earlier attempts and the retry budget. */
export class RetryRules {
	/** Number of attempts, including those that found no free connection. */
	attemptCount = 0;
	readonly #attempts: sentAttempt.SentAttempt[] = [];
	/** Takes back the count of a retry that has not been sent yet; absent if none is reserved. */
	#uncountReserved: (() => void) | undefined;

	constructor(private readonly options: RetryRulesOptions) {}

	/** Attempts that were sent, in order. */
	get attempts(): readonly sentAttempt.SentAttempt[] {
		return this.#attempts;
	}

	/** Whether the request may be executed more than once. */
	get isIdempotent(): boolean {
		const {kind, isResumable} = this.options.route;
		return kind === core.routing.RouteKind.Safe || (kind === core.routing.RouteKind.Streaming && isResumable);
	}

	/** Records that an attempt was sent; one after the first counts in the retry budget. */
	recordSent(sent: sentAttempt.SentAttempt, now: number): void {
		// A reserved retry counts from now on, since the search for an endpoint may have taken long.
		this.releaseRetry();
		if (this.#attempts.length > 0) {
			this.options.window(now).countRetry(now);
		}

		this.#attempts.push(sent);
	}

	/** Returns a reserved retry to the budget, as the request is not sent again. */
	releaseRetry(): void {
		this.#uncountReserved?.();
		this.#uncountReserved = undefined;
	}

	/**
	 * Reserves a retry after an attempt has ended. @returns What prevents it; `undefined` if the request may be sent to another endpoint.
	 *
	 * @param progress - How far the attempt came.
	 */
	reserveRetry(progress: core.request.AttemptProgress, now: number): core.log.RetryObstacle | undefined {
		switch (progress) {
			case progresses.RefusedBeforeExecution: {
				return this.#findUnexecutedObstacle(now) ?? this.#reserve(now);
			}

			case progresses.NotStarted:
			case progresses.Connecting: {
				return this.#findUnexecutedObstacle(now);
			}

			case progresses.MaybeSent:
			case progresses.ResponseStarted:
			case progresses.ResponseComplete: {
				return this.reserveExecutedRetry(now);
			}
		}
	}

	/** Reserves a retry of a request that may have been executed. @returns What prevents it. */
	reserveExecutedRetry(now: number): core.log.RetryObstacle | undefined {
		return this.findExecutedObstacle(now) ?? this.#reserve(now);
	}

	/** Returns what prevents that a request that may have been executed is sent to another endpoint; attempts in progress count as executed. */
	findExecutedObstacle(now: number): core.log.RetryObstacle | undefined {
		if (!this.isIdempotent) {
			return obstacles.NotIdempotent;
		}

		const executions = this.#attempts.filter(sent => sent.end === undefined || !core.request.isKnownNotExecuted({
			id: sent.id, endpoint: sent.placement.entry.id, progress: sent.end.progress,
		})).length;
		return executions >= this.options.route.maxAttempts ? obstacles.AttemptsUsed : this.#findUnexecutedObstacle(now) ?? this.#findBudgetObstacle(now);
	}

	/** Returns what prevents a retry of a request that was not executed, regardless of the budget. */
	#findUnexecutedObstacle(now: number): core.log.RetryObstacle | undefined {
		if (this.#attempts.filter(sent => sent.isInterrupted && sent.hasResponseStarted).length >= maxInterruptions) {
			return obstacles.Interruptions;
		}

		if (this.options.hasUnresumableResponse()) {
			return obstacles.NotResumable;
		}

		return this.attemptCount >= this.options.route.maxAttempts + maxExtraAttempts ? obstacles.AttemptsUsed : this.#findTimeObstacle(now);
	}

	#findTimeObstacle(now: number): core.log.RetryObstacle | undefined {
		return now + minRetryTimeMs >= this.options.deadlineAt ? obstacles.DeadlinePassed : undefined;
	}

	#findBudgetObstacle(now: number): core.log.RetryObstacle | undefined {
		const isAllowed = this.#uncountReserved !== undefined || this.options.window(now).allowsRetry(this.options.vmCount(), now);
		return isAllowed ? undefined : obstacles.RetryBudgetUsed;
	}

	/** Counts a retry before it is sent, so that requests that fail together do not all use what is left of the budget. */
	#reserve(now: number): core.log.RetryObstacle | undefined {
		const obstacle = this.#findBudgetObstacle(now);
		if (obstacle === undefined) {
			this.#uncountReserved ??= this.options.window(now).countRetry(now);
		}

		return obstacle;
	}
}

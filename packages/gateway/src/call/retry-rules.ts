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
	/** In milliseconds of the monotonic clock. */
	readonly deadlineAt: number;
	readonly window: core.fleet.RetryWindow;
	/** Returns the number of VMs that share the retry budget. */
	readonly vmCount: () => number;
};

/** Decides whether a request may be sent to another endpoint, from its earlier attempts and the retry budget. */
export class RetryRules {
	/** Attempts that were sent, in order. */
	readonly attempts: sentAttempt.SentAttempt[] = [];
	/** Number of attempts, including those that found no free connection. */
	attemptCount = 0;

	constructor(private readonly options: RetryRulesOptions) {}

	/** Whether the request may be executed more than once. */
	get isIdempotent(): boolean {
		const {kind, isResumable} = this.options.route;
		return kind === core.routing.RouteKind.Safe || (kind === core.routing.RouteKind.Streaming && isResumable);
	}

	/**
	 * Returns what prevents a retry after an attempt has ended; `undefined` if the request may be sent to another endpoint.
	 *
	 * @param progress - How far the attempt came.
	 * @param hasResponseBegun - Whether the caller has received a part of a response.
	 */
	findObstacle(progress: core.request.AttemptProgress, hasResponseBegun: boolean, now: number): core.log.RetryObstacle | undefined {
		if (this.attempts.filter(sent => sent.isInterrupted && sent.hasResponseStarted).length >= maxInterruptions) {
			return obstacles.Interruptions;
		}

		if (hasResponseBegun && !this.options.route.isResumable) {
			return obstacles.NotResumable;
		}

		switch (progress) {
			case progresses.RefusedBeforeExecution: {
				return this.#findUnexecutedObstacle(now) ?? this.#findBudgetObstacle(now);
			}

			case progresses.NotStarted:
			case progresses.Connecting: {
				return this.#findUnexecutedObstacle(now);
			}

			case progresses.MaybeSent:
			case progresses.ResponseStarted:
			case progresses.ResponseComplete: {
				return this.findExecutedObstacle(now);
			}
		}
	}

	/** Returns what prevents that a request that may have been executed is sent to another endpoint; attempts in progress count as executed. */
	findExecutedObstacle(now: number): core.log.RetryObstacle | undefined {
		if (!this.isIdempotent) {
			return obstacles.NotIdempotent;
		}

		const executions = this.attempts.filter(sent => sent.end === undefined || !core.request.isKnownNotExecuted({
			id: sent.id, endpoint: sent.placement.entry.id, progress: sent.end.progress,
		})).length;
		return executions >= this.options.route.maxAttempts ? obstacles.AttemptsUsed : this.#findUnexecutedObstacle(now) ?? this.#findBudgetObstacle(now);
	}

	/** Returns what prevents a retry of a request that was not executed, regardless of the budget. */
	#findUnexecutedObstacle(now: number): core.log.RetryObstacle | undefined {
		return this.attemptCount >= this.options.route.maxAttempts + maxExtraAttempts ? obstacles.AttemptsUsed : this.#findTimeObstacle(now);
	}

	#findTimeObstacle(now: number): core.log.RetryObstacle | undefined {
		return now + minRetryTimeMs >= this.options.deadlineAt ? obstacles.DeadlinePassed : undefined;
	}

	#findBudgetObstacle(now: number): core.log.RetryObstacle | undefined {
		return this.options.window.allowsRetry(this.options.vmCount(), now) ? undefined : obstacles.RetryBudgetUsed;
	}
}

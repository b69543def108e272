import * as core from '@bluebellmast/core';
import * as clients from '@bluebellmast/kv';

/**
 * Time without a response after which a safe request is retried at another endpoint, as a multiple of the target latency of
 * its route, and its minimum in milliseconds. Plain services of both deployments respond within a third of their targets,
 * while a stalled connection never delivers a response.
 */
const stallTimeoutFactor = 3;
const minStallTimeoutMs = 300;
/**
 * Time without a complete event after which a stream is resumed at another endpoint, as a multiple of the longest pause that is on time, and its
 * minimum in milliseconds. Callers of the platform give up streams after as long.
 */
const eventTimeoutFactor = 8;
const minEventTimeoutMs = 2000;

/**
 * Finds attempts that make no progress: safe requests without a response, and resumable streams without a further event. The callbacks are called
 * again after the same time while that lasts.
 */
export class AttemptTimers {
	#responseTimer: clients.timeouts.SilenceTimer | undefined;
	#eventTimer: clients.timeouts.SilenceTimer | undefined;

	constructor(private readonly route: Pick<core.routing.Route, 'kind' | 'isResumable' | 'targetLatencyMs' | 'gapTargetMs'>) {}

	/** Starts to wait for the response of an attempt, in place of an earlier one. */
	start(onStalled: () => void): void {
		this.stop();
		if (this.route.kind === core.routing.RouteKind.Safe) {
			this.#responseTimer = createRepeatedTimer(Math.max(minStallTimeoutMs, stallTimeoutFactor * this.route.targetLatencyMs), onStalled);
		}
	}

	/** Waits for the next event of a stream, as its response has begun or an event is complete. */
	restart(onStalled: () => void): void {
		if (this.#eventTimer !== undefined) {
			this.#eventTimer.refresh();
		} else if (this.route.kind === core.routing.RouteKind.Streaming && this.route.isResumable) {
			this.#eventTimer = createRepeatedTimer(Math.max(minEventTimeoutMs, eventTimeoutFactor * this.route.gapTargetMs), onStalled);
		}
	}

	/** Begins the waits anew, as the request was sent to another endpoint as well. */
	refresh(): void {
		this.#responseTimer?.refresh();
		this.#eventTimer?.refresh();
	}

	/** Ends the waits of an attempt. */
	stop(): void {
		this.#responseTimer?.clear();
		this.#eventTimer?.clear();
		this.#responseTimer = undefined;
		this.#eventTimer = undefined;
	}
}

/** Creates a timer that begins anew each time it has called back. */
function createRepeatedTimer(timeoutMs: number, onStalled: () => void): clients.timeouts.SilenceTimer {
	const timer = new clients.timeouts.SilenceTimer(timeoutMs, () => {
		timer.refresh();
		onStalled();
	});
	return timer;
}

import * as timers from 'node:timers/promises';
import * as core from '@bluebellmast/core';
import type * as controller from './controllers/controller.js';
import type * as activeRequests from './http/active-requests.js';
import type * as routerServer from './http/router-server.js';
import type * as timelineRecorder from './util/timeline-recorder.js';

/** Lifecycle state of the router, which determines its readiness. */
export class Lifecycle {
	/** Whether all parts were started. */
	isStarted = false;
	/** Whether a graceful shutdown has begun. */
	isStopping = false;

	/**
	 * Returns whether the load balancer may send requests.
	 *
	 * @param hasLoads - Whether the router knows the loads of the endpoints.
	 */
	isReady(hasLoads: boolean): boolean {
		const conditions = {started: this.isStarted, hasLoads, stopping: this.isStopping};
		return core.members.decideReadiness(conditions) === core.members.Readiness.Serving;
	}
}

/** Parts and options of a `RouterProgram`. */
export type RouterProgramOptions = {
	readonly lifecycle: Lifecycle;
	/** Started in order, stopped in reverse. */
	readonly controllers: readonly controller.Controller[];
	readonly server: routerServer.RouterServer;
	readonly requests: activeRequests.ActiveRequests;
	readonly recorder: timelineRecorder.TimelineRecorder;
	/** Time between the first failing readiness probe and closing the listener, in milliseconds. */
	readonly readinessLeadMs: number;
	/** Called when a graceful shutdown begins. */
	readonly onStopping: () => void;
	/** Closes outgoing connections; called after all controllers were stopped. */
	readonly close: () => Promise<void>;
};

/** Starts all parts of a router and shuts them down gracefully. */
export class RouterProgram {
	readonly #options: RouterProgramOptions;
	#stopping: Promise<void> | undefined;

	constructor(options: RouterProgramOptions) {
		this.#options = options;
	}

	/** Port on which callers' requests are accepted. */
	get port(): number {
		return this.#options.server.port;
	}

	/** Number of requests in flight. */
	get activeRequestCount(): number {
		return this.#options.requests.size;
	}

	/** Starts all parts. Rejects if an address cannot be listened on. */
	async start(): Promise<void> {
		await this.#options.server.start();
		for (const part of this.#options.controllers) {
			await part.start(); // eslint-disable-line no-await-in-loop
		}

		this.#options.lifecycle.isStarted = true;
		this.#options.recorder.record({type: core.timeline.TimelineEventType.RouterStarted});
	}

	/** Records an uncaught error in the timeline. */
	recordInternalError(error: unknown): void {
		this.#options.recorder.record(core.timeline.createErrorEvent(error));
	}

	/**
	 * Shuts down gracefully, without aborting requests. The readiness probe fails first; the listener stays open until the load
	 * balancer has had time to notice. Then all requests are completed and the controllers hand over their duties. Further
	 * calls wait for the same shutdown.
	 */
	async stop(): Promise<void> {
		this.#stopping ??= this.#stop();
		await this.#stopping;
	}

	async #stop(): Promise<void> {
		const {lifecycle, readinessLeadMs, server, requests, controllers} = this.#options;
		lifecycle.isStopping = true;
		this.#options.onStopping();
		server.startDraining();
		this.#options.recorder.record({type: core.timeline.TimelineEventType.RouterStopping});
		await timers.setTimeout(readinessLeadMs);
		await server.stop();
		await requests.waitUntilEmpty();
		for (const part of [...controllers].reverse()) {
			await part.stop(); // eslint-disable-line no-await-in-loop
		}

		await this.#options.close();
	}
}

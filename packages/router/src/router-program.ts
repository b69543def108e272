import * as timers from 'node:timers/promises';
import * as core from '@bluebellmast/core';
import type * as controller from './controllers/controller.js';
import type * as activeRequests from './http/active-requests.js';
import type * as routerServer from './http/router-server.js';
import type * as timelineRecorder from './util/timeline-recorder.js';

/** Whether the router offers itself to the balancer. */
export class Lifecycle {
	/** True once all parts were started. */
	isStarted = false;
	/** True from the beginning of a planned stop. */
	isStopping = false;

	/** Returns whether the balancer may send requests. */
	isReady(hasLoads: boolean): boolean {
		const facts = {started: this.isStarted, hasLoads, stopping: this.isStopping};
		return core.members.decideReadiness(facts) === core.members.Readiness.Serving;
	}
}

/** The parts that a router runs. */
export type RouterProgramOptions = {
	readonly lifecycle: Lifecycle;
	/** Started in order, stopped in reverse. */
	readonly controllers: readonly controller.Controller[];
	readonly server: routerServer.RouterServer;
	readonly requests: activeRequests.ActiveRequests;
	readonly recorder: timelineRecorder.TimelineRecorder;
	/** Milliseconds between failing readiness and closing the listener. */
	readonly readinessLeadMs: number;
	/** Called when a planned stop begins. */
	readonly onStopping: () => void;
	/** Closes connections, last of all. */
	readonly close: () => Promise<void>;
};

/** A router from start to planned stop. */
export class RouterProgram {
	readonly #options: RouterProgramOptions;
	#stopping: Promise<void> | undefined;

	constructor(options: RouterProgramOptions) {
		this.#options = options;
	}

	/** Port that callers reach. */
	get port(): number {
		return this.#options.server.port;
	}

	/** Number of requests under way. */
	get activeRequestCount(): number {
		return this.#options.requests.size;
	}

	/** Starts all parts. Rejects when an address cannot be listened on. */
	async start(): Promise<void> {
		await this.#options.server.start();
		for (const part of this.#options.controllers) {
			await part.start(); // eslint-disable-line no-await-in-loop
		}

		this.#options.lifecycle.isStarted = true;
		this.#options.recorder.record({type: core.timeline.TimelineEventType.RouterStarted});
	}

	/** Records a fault of the program itself. */
	reportFault(fault: unknown): void {
		this.#options.recorder.record({type: core.timeline.TimelineEventType.InvariantBroken, detail: String(fault)});
	}

	/**
	 * Stops without cutting a request: readiness fails first, the listener stays open until the balancer has had time to
	 * see it, every request ends, duties are handed over. Further calls wait for the same stop.
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

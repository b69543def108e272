import * as timers from 'node:timers/promises';
import type * as core from '@bluebellmast/core';
import type * as controllers from './controllers/index.js';
import type * as gatewaySettings from './gateway-settings.js';
import * as ingress from './ingress/index.js';
import type * as peers from './peers/index.js';
import type * as placement from './placement/index.js';
import type * as clocks from './util/clocks.js';
import * as eventLog from './util/event-log.js';
import type * as pathServer from './util/path-server.js';
import * as periodicTask from './util/periodic-task.js';

/** The parts of a gateway. */
export type GatewayParts = {
	readonly settings: gatewaySettings.GatewaySettings;
	readonly config: core.routing.ConfigState;
	readonly fleet: placement.FleetState;
	readonly server: ingress.GatewayServer;
	readonly feed: controllers.StoreFeed;
	readonly lease: controllers.LeaseController;
	readonly rollout: controllers.RolloutController;
	readonly duties: controllers.DutyController;
	readonly endpointController: controllers.EndpointController;
	readonly exchange: peers.LoadExchange;
	readonly load: controllers.LoadController;
	readonly cacheStore: controllers.CacheStoreController;
	readonly clock: clocks.Clocks;
	/** Absent where the settings name no address for it. */
	readonly metrics?: pathServer.PathServer;
	readonly log: eventLog.EventLog;
};

/** Intervals of the periodic work, in milliseconds. */
const endpointTickMs = 100;
const leaseTickMs = 150;
const rolloutTickMs = 50;
/** Pause between two calls that wait for news of the cache store. */
const cacheStoreTickMs = 100;
/** Pause between two looks whether a digest of load is due. */
const loadTickMs = 100;
/** Age of the configuration beyond which the VM asks for no new connections, in milliseconds: several polls have failed. */
const readyConfigAgeMs = 3000;
/** Time between the first refused readiness question and the end of listening, in milliseconds: two questions and a margin. */
const unlistedMs = 2800;
/** Part of the grace time that is kept for the exit itself, in milliseconds. */
const exitMarginMs = 300;

/** One gateway process. */
export class Gateway {
	readonly #readiness: pathServer.PathServer;
	#tasks: periodicTask.PeriodicTaskHandle[] = [];
	#isStopping = false;
	#isClosed = false;
	#wasReady = false;

	constructor(private readonly parts: GatewayParts) {
		this.#readiness = ingress.createReadinessServer(parts.settings.readinessPath, () => this.isReady(), parts.log);
	}

	/** Ports on which the gateway listens. */
	get ports(): {readonly callers: number; readonly readiness: number; readonly metrics?: number} {
		return {callers: this.parts.server.port, readiness: this.#readiness.port, metrics: this.parts.metrics?.port};
	}

	/** Requests that have not ended. */
	get openRequests(): number {
		return this.parts.server.openRequests;
	}

	/** Whether new connections are welcome. */
	isReady(): boolean {
		const {config, clock} = this.parts;
		return !this.#isStopping && config.ageMs(clock.suspendAwareNow()) <= readyConfigAgeMs;
	}

	/** Starts to follow the store and to listen. */
	async start(): Promise<void> {
		const {settings, server, feed, exchange, log} = this.parts;
		await Promise.all([
			server.listen(settings.listen),
			this.#readiness.listen(settings.readiness),
			exchange.listen(),
			settings.metrics && this.parts.metrics?.listen(settings.metrics),
		]);
		void feed.run();
		this.#tasks = this.#runTasks();
		log.write(eventLog.LogEvent.Started, {port: server.port, dataCentre: settings.dataCentre});
	}

	/** Stops without cutting requests: leaves the balancer first, then ends what is under way, in the grace time. */
	async stop(): Promise<void> {
		if (this.#isStopping) {
			return;
		}

		this.#isStopping = true;
		const {settings, server, lease, log, clock} = this.parts;
		const startedAt = clock.monotonicNow();
		log.write(eventLog.LogEvent.Stopping, {graceMs: settings.graceMs});
		server.beginShutdown();
		await Promise.all([lease.stop(), timers.setTimeout(unlistedMs)]);
		await server.finishShutdown(settings.graceMs - exitMarginMs - (clock.monotonicNow() - startedAt));
		this.close();
		log.write(eventLog.LogEvent.Stopped, {tookMs: Math.round(clock.monotonicNow() - startedAt)});
	}

	/** Closes everything at once. */
	close(): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		for (const task of this.#tasks) {
			task.stop();
		}

		this.parts.feed.stop();
		this.parts.load.stop();
		this.parts.exchange.close();
		this.parts.server.close();
		this.#readiness.close();
		this.parts.metrics?.close();
	}

	#noteReadiness(): void {
		const {config, clock, log} = this.parts;
		const isReady = this.isReady();
		if (isReady !== this.#wasReady) {
			this.#wasReady = isReady;
			const ageMs = config.ageMs(clock.suspendAwareNow());
			log.write(eventLog.LogEvent.ReadinessChanged, {isReady, configAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined});
		}
	}

	#runTasks(): periodicTask.PeriodicTaskHandle[] {
		const {endpointController, duties, lease, rollout, load, cacheStore, log} = this.parts;
		const tasks: readonly periodicTask.PeriodicTask[] = [
			{
				name: 'endpoints',
				intervalMs: endpointTickMs,
				run: () => {
					endpointController.tick();
					duties.tick();
					this.#noteReadiness();
				},
			},
			{
				name: 'load',
				intervalMs: loadTickMs,
				run() {
					load.tick();
				},
			},
			{name: 'cache store', intervalMs: cacheStoreTickMs, run: async () => cacheStore.tick()},
			{name: 'lease', intervalMs: leaseTickMs, run: async () => lease.tick()},
			{name: 'rollout', intervalMs: rolloutTickMs, run: async () => rollout.tick()},
		];
		return tasks.map(task => periodicTask.runPeriodically(task, log));
	}
}

import * as timers from 'node:timers/promises';
import type * as core from '@bluebellmast/core';
import type * as call from './call/index.js';
import type * as controllers from './controllers/index.js';
import type * as gatewaySettings from './gateway-settings.js';
import * as ingress from './ingress/index.js';
import type * as peers from './peers/index.js';
import type * as placement from './placement/index.js';
import type * as clocks from './util/clocks.js';
import * as eventLog from './util/event-log.js';
import type * as pathServer from './util/path-server.js';
import * as periodicTask from './util/periodic-task.js';

/** The components of a gateway. */
export type GatewayComponents = {
	readonly settings: gatewaySettings.GatewaySettings;
	readonly config: core.routing.ConfigState;
	readonly fleet: placement.FleetState;
	readonly server: ingress.GatewayServer;
	readonly dispatcher: call.RequestDispatcher;
	readonly feed: controllers.StoreFeed;
	readonly leaseController: controllers.LeaseController;
	readonly rolloutController: controllers.RolloutController;
	readonly coordination: controllers.CoordinationController;
	readonly endpointController: controllers.EndpointController;
	readonly operator: controllers.OperatorController;
	readonly peerExchange: peers.PeerExchange;
	readonly tunnels: peers.TunnelServer;
	readonly pathController: controllers.PathController;
	readonly loadController: controllers.LoadController;
	readonly quotaController: controllers.QuotaController;
	readonly quarantineStore: controllers.QuarantineStore;
	readonly cacheStoreController: controllers.CacheStoreController;
	readonly clock: clocks.Clocks;
	/** Absent if the settings have no address for metrics. */
	readonly metrics?: pathServer.PathServer;
	readonly log: eventLog.EventLog;
};

/** Interval of the timer of all periodic tasks, in milliseconds; the intervals of the tasks are multiples of it. */
const taskStepMs = 50;
/** Intervals of the periodic tasks, in milliseconds. */
const endpointIntervalMs = 100;
const pathIntervalMs = 50;
const leaseIntervalMs = 150;
const rolloutIntervalMs = 50;
/** Interval between checks whether the evidence on quarantined parts must be stored. */
const quarantineIntervalMs = 250;
/** Interval between polls of the cache store, each of which waits for changes. */
const cacheStoreIntervalMs = 100;
/** Interval between checks whether a digest (summary of this VM's load) must be sent to the other VMs. */
const loadIntervalMs = 100;
/** Interval between checks whether shares of quotas must be lent again. */
const quotaIntervalMs = 50;
/** Interval between checks whether the operator has removed models. */
const operatorIntervalMs = 10_000;
/** Age of the configuration above which the gateway is not ready for new connections, in milliseconds; several polls failed by then. */
const maxReadyConfigAgeMs = 3000;
/**
 * Time between the start of a graceful shutdown and the moment at which the server stops listening, in milliseconds. Readiness
 * checks fail during this time; it covers two of the load balancer's checks and a margin.
 */
const deregistrationMs = 2800;
/**
 * Time between the start of a graceful shutdown and the moment from which streams count as late, in milliseconds: the load balancer sends no new connections after
 * two of its checks, so that other VMs take these callers' streams at once.
 */
const lateStreamMs = 2000;
/** Part of the grace period that is reserved for the exit of the process, in milliseconds. */
const exitMarginMs = 300;
/** Part of that margin in which the requests that are cut at its beginning are logged, in milliseconds. */
const maxLoggedEndsMs = 50;

/** A gateway process. */
export class Gateway {
	readonly #readiness: pathServer.PathServer;
	#tasks: periodicTask.PeriodicTaskHandle | undefined;
	/** Settles when the shutdown has ended; absent before it begins. */
	#stopped: Promise<void> | undefined;
	#isClosed = false;
	#wasReady = false;

	constructor(private readonly components: GatewayComponents) {
		this.#readiness = ingress.createReadinessServer(components.settings.readinessPath, () => this.isReady(), components.log);
	}

	/** Ports on which the gateway listens. */
	get ports(): {readonly callers: number; readonly readiness: number; readonly peers: number; readonly metrics?: number} {
		const {server, peerExchange, metrics} = this.components;
		return {
			callers: server.port, readiness: this.#readiness.port, peers: peerExchange.port, metrics: metrics?.port,
		};
	}

	/** Number of requests in progress. */
	get openRequests(): number {
		return this.components.server.openRequests;
	}

	/** Whether the gateway is ready for new connections. */
	isReady(): boolean {
		const {config, clock} = this.components;
		return this.#stopped === undefined && config.ageMs(clock.suspendAwareNow()) <= maxReadyConfigAgeMs;
	}

	/** Starts the servers, the store feed and the periodic tasks. */
	async start(): Promise<void> {
		const {settings, server, feed, peerExchange, tunnels, log} = this.components;
		await Promise.all([
			server.listen(settings.listen),
			this.#readiness.listen(settings.readiness),
			peerExchange.listen(),
			tunnels.listen(),
			settings.metrics && this.components.metrics?.listen(settings.metrics),
		]);
		void feed.run();
		this.#tasks = this.#runTasks();
		log.write(eventLog.LogEvent.Started, {port: server.port, dataCentre: settings.dataCentre});
	}

	/**
	 * Shuts down gracefully: reports not ready until the load balancer has stopped sending new connections, then completes the
	 * requests in progress, within the grace period. Further calls wait for the same shutdown.
	 */
	async stop(): Promise<void> {
		this.#stopped ??= this.#stop();
		return this.#stopped;
	}

	/** Immediately stops all tasks and closes all servers and connections. */
	close(): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		this.#tasks?.stop();
		this.components.feed.stop();
		this.components.loadController.stop();
		this.components.peerExchange.close();
		this.components.tunnels.close();
		this.components.server.close();
		this.#readiness.close();
		this.components.metrics?.close();
	}

	async #stop(): Promise<void> {
		const {settings, server, dispatcher, leaseController, log, clock} = this.components;
		const startedAt = clock.monotonicNow();
		log.write(eventLog.LogEvent.Stopping, {graceMs: settings.graceMs});
		server.beginShutdown();
		this.components.quotaController.beginShutdown();
		this.components.tunnels.beginShutdown();
		dispatcher.beginShutdown(startedAt + settings.graceMs - exitMarginMs, startedAt + lateStreamMs);
		await Promise.all([leaseController.stop(), timers.setTimeout(deregistrationMs)]);
		await server.finishShutdown(settings.graceMs - exitMarginMs - (clock.monotonicNow() - startedAt));
		this.close();
		await server.awaitLoggedEnds(maxLoggedEndsMs);
		log.write(eventLog.LogEvent.Stopped, {tookMs: Math.round(clock.monotonicNow() - startedAt)});
	}

	#logReadiness(): void {
		const {config, clock, log} = this.components;
		const isReady = this.isReady();
		if (isReady !== this.#wasReady) {
			this.#wasReady = isReady;
			const ageMs = config.ageMs(clock.suspendAwareNow());
			log.write(eventLog.LogEvent.ReadinessChanged, {isReady, configAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined});
		}
	}

	#runTasks(): periodicTask.PeriodicTaskHandle {
		const {
			endpointController, pathController, operator, coordination, leaseController, rolloutController, loadController, quotaController, quarantineStore, cacheStoreController, clock,
			log,
		} = this.components;
		const tasks: readonly periodicTask.PeriodicTask[] = [
			{
				name: 'endpoints',
				intervalMs: endpointIntervalMs,
				run: () => {
					endpointController.tick();
					coordination.tick();
					this.#logReadiness();
				},
			},
			{
				name: 'paths',
				intervalMs: pathIntervalMs,
				run() {
					pathController.tick();
				},
			},
			{
				name: 'load',
				intervalMs: loadIntervalMs,
				run() {
					loadController.tick();
				},
			},
			{
				name: 'quotas',
				intervalMs: quotaIntervalMs,
				run() {
					quotaController.tick();
				},
			},
			{
				name: 'operator',
				intervalMs: operatorIntervalMs,
				run() {
					operator.tick();
				},
			},
			{name: 'quarantine', intervalMs: quarantineIntervalMs, run: async () => quarantineStore.tick()},
			{name: 'cache store', intervalMs: cacheStoreIntervalMs, run: async () => cacheStoreController.tick()},
			{name: 'lease', intervalMs: leaseIntervalMs, run: async () => leaseController.tick()},
			{name: 'rollout', intervalMs: rolloutIntervalMs, run: async () => rolloutController.tick()},
		];
		return periodicTask.runPeriodically(tasks, {
			stepMs: taskStepMs,
			now: () => clock.monotonicNow(),
			log,
			onBlocked: blockedMs => {
				const blockedUntil = clock.monotonicNow();
				this.components.fleet.health.recordBlocked(blockedMs, blockedUntil);
				this.components.fleet.paths.recordBlocked(blockedMs, blockedUntil);
			},
		});
	}
}

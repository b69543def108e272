import * as core from '@bluebellmast/core';
import type * as wire from '@bluebellmast/wire';
import * as util from '../util/index.js';
import type * as deploymentProfile from './deployment-profile.js';

/** Delay and loss of what a logical router observes. */
export type Lag = {
	/** Delay of load reports, in milliseconds. */
	readonly loadReportMs: number;
	/** Delay of cache events, in milliseconds. */
	readonly cacheEventMs: number;
	/** Delay of load changes from other routers, in milliseconds. */
	readonly peerMs: number;
	/** Share of cache events that are lost, 0 to 1. */
	readonly eventLoss: number;
};

/** No delays and no losses, as the oracle observes. */
export const noLag: Lag = {
	loadReportMs: 0, cacheEventMs: 0, peerMs: 0, eventLoss: 0,
};
/** Delays as in operation, scaled down as the engines' times are. */
export const typicalLag: Lag = {
	loadReportMs: 150, cacheEventMs: 100, peerMs: 20, eventLoss: 0.01,
};

/** Options of a logical router. */
export type BenchRouterOptions = {
	readonly name: string;
	readonly deployment: deploymentProfile.DeploymentProfile;
	readonly policy: (seed: number) => core.placement.PlacementPolicy;
	readonly routers: number;
	readonly lag: Lag;
	readonly seed: number;
};

/** One logical router: its own placement state, updated from delayed and lossy reports and events. */
export class BenchRouter {
	state: core.placement.PlacementState;
	/** Share of cache events that are lost now; a fault may raise it. */
	eventLoss: number;
	/** Whether load reports reach the router. */
	isReceivingLoadReports = true;
	readonly #random: util.Random;
	readonly #timers = new Set<NodeJS.Timeout>();

	constructor(private readonly options: BenchRouterOptions) {
		this.#random = new util.Random(options.seed);
		this.eventLoss = options.lag.eventLoss;
		this.state = this.#createState();
	}

	/** Replaces the state by an empty one, as a restart does. The reports stand for the snapshot that a peer sends. */
	restart(reports: ReadonlyMap<string, wire.endpoint.LoadReport>): void {
		this.state = this.#createState();
		for (const [endpoint, report] of reports) {
			this.state.applyLoadReport(endpoint, report, Date.now());
		}
	}

	/** Applies a load report after the delay. */
	receiveLoadReport(endpoint: string, report: wire.endpoint.LoadReport): void {
		if (!this.isReceivingLoadReports) {
			return;
		}

		this.#runAfter(this.options.lag.loadReportMs, () => {
			this.state.applyLoadReport(endpoint, report, Date.now());
			const load = this.state.loads.find(endpoint); // eslint-disable-line unicorn/no-array-callback-reference
			if (load?.incarnation === report.incarnation) {
				load.reachable = true;
			}
		});
	}

	/** Applies a cache event after the delay, unless it is lost. */
	receiveCacheEvent(endpoint: string, event: wire.endpoint.CacheEvent): void {
		if (this.#random.chance(this.eventLoss)) {
			return;
		}

		this.#runAfter(this.options.lag.cacheEventMs, () => {
			this.state.cacheIndex.applyEvent(endpoint, {
				incarnation: event.incarnation,
				sequence: event.sequence,
				change: event.type as string as core.cache.CacheChange,
				key: event.key,
			});
		});
	}

	/** Applies a load change of another router after the delay. */
	receivePeerChange(change: core.placement.PeerLoadChange): void {
		this.#runAfter(this.options.lag.peerMs, () => {
			this.state.applyPeerChange(change, Date.now());
		});
	}

	/** Marks an endpoint as unreachable until its next load report. */
	markUnreachable(endpoint: string): void {
		const load = this.state.loads.find(endpoint); // eslint-disable-line unicorn/no-array-callback-reference
		if (load !== undefined) {
			load.reachable = false;
		}
	}

	/** Drops reports and events that are still delayed. */
	stop(): void {
		for (const timer of this.#timers) {
			clearTimeout(timer);
		}
	}

	#createState(): core.placement.PlacementState {
		const {deployment, lag, routers} = this.options;
		const state = new core.placement.PlacementState({
			policy: this.options.policy(this.options.seed),
			load: {
				reportLagMs: lag.loadReportMs,
				staleReportMs: 1000,
				prefillTokensPerMs: deployment.prefillTokensPerSecond / 1000,
				slotHoldMs: 300,
				slownessHalfLifeMs: 4000,
				peerFactor: 0,
			},
			hotPrefixes: {decayMs: 5000},
		});
		state.loads.setRouters(routers);
		state.loads.setEndpoints(Array.from({length: deployment.engines}, (_, index) => createEndpoint(deployment, index)));
		return state;
	}

	#runAfter(delayMs: number, action: () => void): void {
		if (delayMs === 0) {
			action();
			return;
		}

		const timer = setTimeout(() => {
			this.#timers.delete(timer);
			action();
		}, delayMs);
		this.#timers.add(timer);
	}
}

function createEndpoint(deployment: deploymentProfile.DeploymentProfile, index: number): core.model.Endpoint {
	return {
		id: `engine-${index}`,
		service: deployment.service,
		host: '127.0.0.1',
		port: 1,
		dataCentre: 'dc-1',
		checksFencing: true,
		role: core.model.EngineRole.Mixed,
		capacity: deployment.slots,
		leaving: false,
	};
}

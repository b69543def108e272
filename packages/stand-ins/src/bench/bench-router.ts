import * as core from '@bluebellmast/core';
import type * as wire from '@bluebellmast/wire';
import * as util from '../util/index.js';
import type * as deploymentProfile from './deployment-profile.js';

/** How far a logical router lags behind the truth. */
export type Lag = {
	/** Milliseconds by which load reports are late. */
	readonly loadReportMs: number;
	/** Milliseconds by which cache events are late. */
	readonly cacheEventMs: number;
	/** Milliseconds by which other routers' dispatches are heard late. */
	readonly peerMs: number;
	/** Share of cache events that never come, 0 to 1. */
	readonly eventLoss: number;
};

/** A router that sees all at once. */
export const noLag: Lag = {
	loadReportMs: 0, cacheEventMs: 0, peerMs: 0, eventLoss: 0,
};
/** A router as it is in operation, with times scaled as the engines' are. */
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

/** One logical router: its own view, picture and rates, behind late and lossy reports. */
export class BenchRouter {
	state: core.placement.PlacementState;
	/** Share of events lost at present. */
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

	/** Forgets all, as a restart does. Endpoints and their incarnations come with the snapshot of a peer. */
	restart(reports: ReadonlyMap<string, wire.endpoint.LoadReport>): void {
		this.state = this.#createState();
		for (const [endpoint, report] of reports) {
			this.state.applyLoadReport(endpoint, report, Date.now());
		}
	}

	/** Hears a load report, late. */
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

	/** Hears a cache event, late or never. */
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

	/** Hears of a dispatch or its end at another router. */
	receivePeerChange(change: core.placement.PeerLoadChange): void {
		this.#runAfter(this.options.lag.peerMs, () => {
			this.state.applyPeerChange(change, Date.now());
		});
	}

	/** Marks an endpoint that refused a connection. */
	markUnreachable(endpoint: string): void {
		const load = this.state.loads.find(endpoint); // eslint-disable-line unicorn/no-array-callback-reference
		if (load !== undefined) {
			load.reachable = false;
		}
	}

	/** Drops what is still to be heard. */
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

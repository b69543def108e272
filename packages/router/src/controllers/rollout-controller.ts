import * as core from '@bluebellmast/core';
import * as wire from '@bluebellmast/wire';
import createDebug from 'debug';
import type * as clock from '../util/clock.js';
import type * as metrics from '../util/metrics.js';
import type * as controller from './controller.js';
import type * as orderClient from './order-client.js';

const debug = createDebug('bluebellmast:rollout');

/** Milliseconds after which an order whose effect was not observed counts as lost. */
const orderTimeoutMs = 5000;
/** Maximum number of engines that are read concurrently. */
const maxConcurrentReads = 32;

/** Options of the rollout controller. */
export type RolloutOptions = {
	readonly client: orderClient.OrderClient;
	readonly clock: clock.Clock;
	readonly manifest: () => core.model.Manifest | undefined;
	/** Returns the fencing token for an order that is sent now, or `undefined` if this router may not send orders. */
	readonly fencing: () => number | undefined;
	/** Returns the number of requests that an engine is processing, by its last load report. */
	readonly countRunning: (endpoint: core.model.EndpointId) => number;
	/** Called in each round while this router is the leader, with the engines that must not get new requests. */
	readonly onDraining: (fencing: number, endpoints: readonly core.model.EndpointId[]) => void;
	readonly metrics?: metrics.Metrics;
	/** Milliseconds between rounds. Default 500. */
	readonly periodMs?: number;
	readonly limits?: core.orders.PlanLimits;
};

const orderTypeByAction: Readonly<Record<core.orders.OrderAction, wire.endpoint.EngineOrderType>> = {
	[core.orders.OrderAction.Load]: wire.endpoint.EngineOrderType.Load,
	[core.orders.OrderAction.Unload]: wire.endpoint.EngineOrderType.Unload,
	[core.orders.OrderAction.SetRole]: wire.endpoint.EngineOrderType.SetRole,
};

/** While this router is the leader, reads the state of the engines and sends the orders of the rollout plan. */
export class RolloutController implements controller.Controller {
	private ordersInFlight: core.orders.OrderInFlight[] = [];
	private readonly drainingSince = new Map<core.model.EndpointId, number>();
	private timer: NodeJS.Timeout | undefined;
	private currentRound: Promise<void> | undefined;
	private orderCount = 0;
	private lastFencing: number | undefined;

	constructor(private readonly options: RolloutOptions) {}

	async start(): Promise<void> {
		this.timer = setInterval(() => {
			void this.tick();
		}, this.options.periodMs ?? 500);
	}

	async stop(): Promise<void> {
		clearInterval(this.timer);
		await this.currentRound;
	}

	/** Runs one round and waits for it; if a round is in progress, waits for that one. */
	async tick(): Promise<void> {
		this.currentRound ??= this.runRound();
		await this.currentRound;
	}

	private async runRound(): Promise<void> {
		try {
			await this.runIfLeading();
		} finally {
			this.currentRound = undefined;
		}
	}

	private async runIfLeading(): Promise<void> {
		const manifest = this.options.manifest();
		const fencing = this.options.fencing();
		if (fencing !== this.lastFencing) {
			this.ordersInFlight = [];
			this.drainingSince.clear();
			this.lastFencing = fencing;
		}

		if (manifest === undefined || fencing === undefined) {
			return;
		}

		await this.planAndSendOrders(manifest, fencing);
	}

	private async planAndSendOrders(manifest: core.model.Manifest, fencing: number): Promise<void> {
		const engines = await this.readEngines(manifest);
		const now = this.options.clock.now();
		this.removeFinishedOrders(engines, now);
		const current = this.options.manifest() ?? manifest;
		const plan = core.orders.planOrders({manifest: current, engines, inFlight: this.ordersInFlight}, now, this.options.limits);
		this.updateDrainingSince(plan.draining, now);
		this.options.onDraining(fencing, plan.draining);
		await Promise.all(plan.orders.map(async planned => this.sendOrder(current, planned)));
	}

	private async readEngines(manifest: core.model.Manifest): Promise<Map<core.model.EndpointId, core.orders.EngineState>> {
		const services = new Set(manifest.services
			.filter(service => service.type === core.model.ServiceType.Engine)
			.map(service => service.id));
		const endpoints = manifest.endpoints.filter(endpoint => services.has(endpoint.service));
		const engines = new Map<core.model.EndpointId, core.orders.EngineState>();
		for (let first = 0; first < endpoints.length; first += maxConcurrentReads) {
			const group = endpoints.slice(first, first + maxConcurrentReads);
			await Promise.all(group.map(async endpoint => { // eslint-disable-line no-await-in-loop
				const holdings = await this.options.client.readHoldings(endpoint);
				if (Array.isArray(holdings?.weights) && Array.isArray(holdings.loading)) {
					engines.set(endpoint.id, this.createEngineState(endpoint.id, holdings));
				}
			}));
		}

		return engines;
	}

	private createEngineState(endpoint: core.model.EndpointId, holdings: wire.endpoint.EngineHoldings): core.orders.EngineState {
		const drainingSince = this.drainingSince.get(endpoint);
		return {
			role: holdings.role,
			weights: holdings.weights,
			loading: holdings.loading,
			running: this.options.countRunning(endpoint),
			...(drainingSince !== undefined && {drainingSince}),
		};
	}

	/** Removes orders in flight whose effect was observed, and those that count as lost. */
	private removeFinishedOrders(engines: ReadonlyMap<core.model.EndpointId, core.orders.EngineState>, now: number): void {
		this.ordersInFlight = this.ordersInFlight.filter(sent => {
			const state = engines.get(sent.endpoint);
			const isLoaded = sent.action === core.orders.OrderAction.Load
				&& state?.weights.includes(sent.weights!) === true;
			return !isLoaded && now - sent.sentAt < orderTimeoutMs;
		});
	}

	private updateDrainingSince(draining: readonly core.model.EndpointId[], now: number): void {
		for (const endpoint of this.drainingSince.keys()) {
			if (!draining.includes(endpoint)) {
				this.drainingSince.delete(endpoint);
			}
		}

		for (const endpoint of draining) {
			if (!this.drainingSince.has(endpoint)) {
				this.drainingSince.set(endpoint, now);
			}
		}
	}

	/** Sends one order. Checks the lease again, since it may have ended while the engines were read. */
	private async sendOrder(manifest: core.model.Manifest, planned: core.orders.PlannedOrder): Promise<void> {
		const fencing = this.options.fencing();
		const endpoint = manifest.endpoints.find(candidate => candidate.id === planned.endpoint);
		if (fencing === undefined || fencing !== this.lastFencing || endpoint === undefined) {
			return;
		}

		const sent = {...planned, sentAt: this.options.clock.now()};
		this.ordersInFlight.push(sent);
		this.orderCount += 1;
		const response = await this.options.client.sendOrder(endpoint, {
			orderId: `${fencing}.${this.orderCount}`,
			type: orderTypeByAction[planned.action],
			fencing,
			...(planned.weights !== undefined && {weights: planned.weights}),
			...(planned.role !== undefined && {role: planned.role}),
		});
		const result = response?.result ?? 'unanswered';
		debug('%s of %s at %s (%s): %s', planned.action, planned.weights, planned.endpoint, planned.reason, result);
		this.options.metrics?.increment('orders.sent', 1, {action: planned.action, reason: planned.reason, result});
		const isFinished = response !== undefined && response.result !== wire.endpoint.EngineOrderResult.Accepted;
		if (isFinished) {
			this.ordersInFlight = this.ordersInFlight.filter(order => order !== sent);
		}
	}
}

import * as core from '@bluebellmast/core';
import type * as clients from '@bluebellmast/kv';
import type * as endpointPauses from '../placement/endpoint-pauses.js';
import type * as fleetState from '../placement/fleet-state.js';
import * as ports from '../ports/index.js';
import type * as clocks from '../util/clocks.js';
import * as eventLog from '../util/event-log.js';
import type * as coordinationController from './coordination-controller.js';
import * as coordinationKeys from './coordination-keys.js';
import * as leaseController from './lease-controller.js';
import * as planCodec from './plan-codec.js';
import type * as recentVersionKeys from './recent-version-keys.js';

/** Options of the controller, in milliseconds. */
export type RolloutControllerOptions = {
	/** Time from the publication of the plan until all VMs exclude the engine from placement, without the pause between their polls. */
	readonly propagationMs: number;
	/** Interval between reads of the report of a loading engine. */
	readonly reportIntervalMs: number;
	/** Time after which an order that got no response or had no effect is sent again. */
	readonly orderRetryMs: number;
	/** Time for which the calls of a step wait for the end of a pause that the engine asked for. */
	readonly maxPauseWaitMs: number;
	/** Time for which a silent engine keeps its step. Afterwards another engine loads in its place, so that the roll-out goes on. */
	readonly maxSilenceMs: number;
};

/**
 * A change reaches the VMs within a round trip, and reports lag by a hundred milliseconds. A call times out after half a second;
 * before the order is retried, a report can show that the engine has begun to load. A delayed order takes effect two seconds
 * late at the earliest; by then the engine has accepted another order and rejects the delayed one. A silent engine is checked
 * every second.
 */
export const defaultRolloutControllerOptions: RolloutControllerOptions = {
	propagationMs: 60, reportIntervalMs: 120, orderRetryMs: 800, maxPauseWaitMs: 2000, maxSilenceMs: 2000,
};

/** Dependencies of the controller. */
export type RolloutControllerDependencies = {
	readonly vm: string;
	readonly store: clients.kv.KeyValueClient;
	readonly coordination: coordinationController.CoordinationController;
	readonly lease: leaseController.LeaseController;
	readonly recentVersions: Pick<recentVersionKeys.RecentVersionKeys, 'has' | 'tick'>;
	readonly fleet: fleetState.FleetState;
	readonly pauses: endpointPauses.EndpointPauses;
	readonly config: core.routing.ConfigState;
	readonly admin: ports.EndpointAdmin;
	readonly clock: clocks.Clocks;
	readonly log: eventLog.EventLog;
	readonly limits: core.rollout.RolloutLimits;
};

/** What the leader has done for one step of the plan. Times are in milliseconds of the monotonic clock. */
type StepState = {
	readonly step: core.rollout.RolloutStep;
	readonly plannedAt: number;
	orderedAt?: number;
	reportReadAt: number;
	/** Whether the engine was executing an order, as last reported. */
	isBusy: boolean;
	/** Whether a call to the engine is in progress. */
	isCallInProgress: boolean;
};

/** Number of orders that one incarnation of an engine has accepted. */
type AcceptedOrders = {
	readonly engine: core.fleet.EndpointIncarnation;
	readonly count: number;
};

/**
 * While this VM leads, brings the engines to the newest named weights: plans the steps, publishes the plan, sends the orders
 * and reads the reports of the engines.
 */
export class RolloutController {
	readonly #stepStates = new Map<string, StepState>();
	/**
	 * Number of orders that each incarnation has accepted, as last reported. Each order states this number, so that an order
	 * whose response was lost can't undo a newer one if it takes effect late.
	 */
	readonly #acceptedOrders = new Map<string, AcceptedOrders>();
	/** Since when engines with a step have been silent, in milliseconds of the monotonic clock. */
	#silentSince: ReadonlyMap<string, number> = new Map();
	/** When the last publication began, in milliseconds of the monotonic clock. */
	#publishedAt = -Infinity;
	/** Whether an order is due for which the plan must be published again. */
	#needsPublication = false;

	constructor(
		private readonly dependencies: RolloutControllerDependencies,
		private readonly options: RolloutControllerOptions = defaultRolloutControllerOptions,
	) {}

	/** Time from the publication of a plan until all VMs act on it, in milliseconds. */
	get #propagationMs(): number {
		return this.options.propagationMs + core.fleet.computePollPauseMs(this.dependencies.fleet.vmCount);
	}

	/** Performs the work that is due, if this VM leads. */
	async tick(): Promise<void> {
		const fence = this.dependencies.lease.fencing();
		if (fence === undefined) {
			this.#stepStates.clear();
			this.#acceptedOrders.clear();
			this.#silentSince = new Map();
			return;
		}

		const {fleet, recentVersions} = this.dependencies;
		// The plan does not wait for the keys; it is written again when they exist.
		void recentVersions.tick();
		this.#dropEnded();
		this.#trackSilence();
		const planned = core.rollout.planRollout({
			plan: fleet.plan, engines: this.#listEngines(), targets: fleet.targets.newestVersions(), named: this.#listNamedVersions(), fence,
		}, this.dependencies.limits);
		const plan = {...planned, writer: this.dependencies.vm, round: planned.round + (this.#needsPublication ? 1 : 0)};
		const mustPublish = this.#needsPublication || !this.dependencies.coordination.state.isPlanStored
			|| !core.rollout.isSamePlan(plan, fleet.plan) || !core.rollout.listsVersions(fleet.plan, plan.named);
		if (mustPublish && !(await this.#publish(plan))) {
			return;
		}

		const due = plan.steps.filter(step => step.phase === core.rollout.RolloutPhase.Loading && !this.#silentSince.has(step.endpoint));
		for (const step of due) {
			void this.#advanceStep(step);
		}
	}

	/**
	 * Drops what is known of incarnations that are no longer listed, and of steps to versions that are not the newest ones, unless they are loading.
	 * The other steps are kept, since an engine that is silent for a moment leaves the plan and returns.
	 */
	#dropEnded(): void {
		const {registry, plan, targets} = this.dependencies.fleet;
		const newest = targets.newestVersions();
		const loading = new Set(plan.steps.filter(({phase}) => phase === core.rollout.RolloutPhase.Loading).map(step => keyOfStep(step)));
		for (const [key, {step, isCallInProgress}] of this.#stepStates) {
			const isListed = registry.get(step.endpoint)?.bornAt === step.bornAt;
			const isNeeded = isListed && (step.version >= (newest.get(step.model) ?? Infinity) || loading.has(key));
			if (!isNeeded && !isCallInProgress) {
				this.#stepStates.delete(key);
			}
		}

		for (const [key, {engine}] of this.#acceptedOrders) {
			if (registry.get(engine.id)?.bornAt !== engine.bornAt) {
				this.#acceptedOrders.delete(key);
			}
		}
	}

	#trackSilence(): void {
		const {fleet, clock} = this.dependencies;
		const now = clock.monotonicNow();
		const silent = fleet.plan.steps.filter(({endpoint}) => fleet.health.isSilent(endpoint));
		this.#silentSince = new Map(silent.map(({endpoint}) => [endpoint, this.#silentSince.get(endpoint) ?? now]));
	}

	/** Lists the named versions with their ages, and with times of the wall clock, the only clock that the VMs share. */
	#listNamedVersions(): core.rollout.NamedVersion[] {
		const {fleet, clock, recentVersions} = this.dependencies;
		const now = clock.suspendAwareNow();
		const withKeys = new Set(fleet.plan.named.filter(({hasRecentKey}) => hasRecentKey).map(({model, version}) => `${version}/${model}`));
		const clockOffsetMs = clock.wallNow() - now;
		return fleet.targets.list().map(({model, version, seenAt}) => ({
			model,
			version,
			seenAt: Math.round(seenAt + clockOffsetMs),
			ageMs: Math.max(0, Math.round(now - seenAt)),
			hasRecentKey: recentVersions.has(model, version) || withKeys.has(`${version}/${model}`),
		}));
	}

	#listEngines(): core.rollout.RolloutEngine[] {
		const {fleet, pauses, config, clock} = this.dependencies;
		const now = clock.monotonicNow();
		const engines: core.rollout.RolloutEngine[] = [];
		for (const pool of config.table?.config.pools ?? []) {
			for (const entry of pool.engine === undefined ? [] : fleet.registry.listReady(pool.name, clock.suspendAwareNow())) {
				for (const model of pool.engine?.models ?? []) {
					const version = fleet.registry.weightVersion(entry.id, model);
					const silentSince = this.#silentSince.get(entry.id);
					const isPlanned = silentSince === undefined ? fleet.health.isResponsive(entry.id) : now - silentSince < this.options.maxSilenceMs;
					if (version !== undefined && isPlanned) {
						const active = fleet.loads.countActive(entry.id, fleet.peers.countActive(entry.id, now), now);
						engines.push({
							endpoint: entry.id,
							bornAt: entry.bornAt,
							model,
							version,
							// Engines that asked for a pause are planned last.
							active: pauses.isPaused(entry) ? Infinity : active,
							isSilent: silentSince !== undefined,
						});
					}
				}
			}
		}

		return engines;
	}

	async #publish(plan: core.rollout.RolloutPlan): Promise<boolean> {
		const {store, coordination, clock, log} = this.dependencies;
		const startedAt = clock.monotonicNow();
		const {planRevision, planEra} = coordination.state;
		const swap = await store.compareAndSwap(coordinationKeys.rolloutPlanKey, planRevision, planCodec.encodePlan(plan), undefined, planEra);
		const result = swap.toMaybe().extract();
		if (!result?.swapped) {
			// The feed delivers the stored plan, and the next tick continues from it.
			return false;
		}

		this.#publishedAt = startedAt;
		this.#needsPublication = false;
		coordination.recordOwnPlan(plan, result.revision, result.era);
		log.write(eventLog.LogEvent.RolloutPlanWritten, {fence: plan.fence, steps: plan.steps.length, revision: result.revision});
		return true;
	}

	async #advanceStep(step: core.rollout.RolloutStep): Promise<void> {
		const now = this.dependencies.clock.monotonicNow();
		const key = keyOfStep(step);
		const state = this.#stepStates.get(key) ?? {
			step, plannedAt: now, reportReadAt: -Infinity, isBusy: false, isCallInProgress: false,
		};
		this.#stepStates.set(key, state);
		const entry = this.dependencies.fleet.registry.get(step.endpoint);
		if (entry === undefined || state.isCallInProgress) {
			return;
		}

		state.isCallInProgress = true;
		try {
			await this.#callEngine(step, state, entry, now);
		} finally {
			state.isCallInProgress = false;
		}
	}

	async #callEngine(
		step: core.rollout.RolloutStep,
		state: StepState,
		entry: core.fleet.EndpointEntry,
		now: number,
	): Promise<void> {
		const isReportDue = now - Math.max(state.reportReadAt, state.orderedAt ?? -Infinity) >= this.options.reportIntervalMs;
		if (!this.#mayCall(state, entry, now)) {
			return;
		}

		if (!this.#acceptedOrders.has(incarnationKey(step))) {
			await (isReportDue ? this.#readReport(step, state, entry) : undefined);
			return;
		}

		const isOrderDue = !state.isBusy && (state.orderedAt === undefined
			? now - state.plannedAt >= this.#propagationMs
			: now - state.orderedAt >= this.options.orderRetryMs);
		if (isOrderDue && now - this.#publishedAt > leaseController.orderWindowMs) {
			// A later leader derives the time of the last order from the last publication, so an order must follow one closely.
			this.#needsPublication = true;
		} else if (isOrderDue) {
			await this.#sendOrder(step, state, entry);
		} else if (isReportDue && !this.dependencies.pauses.isPaused(entry) && (state.isBusy || state.orderedAt !== undefined)) {
			await this.#readReport(step, state, entry);
		}
	}

	/** Returns whether an engine may be called: during a pause that it asked for only if the step has waited for long. */
	#mayCall(state: StepState, entry: core.fleet.EndpointEntry, now: number): boolean {
		const {pauses} = this.dependencies;
		return !pauses.isPaused(entry) || (now - state.plannedAt >= this.options.maxPauseWaitMs && pauses.mayCallUrgently(entry));
	}

	async #sendOrder(step: core.rollout.RolloutStep, state: StepState, entry: core.fleet.EndpointEntry): Promise<void> {
		const {lease, admin, fleet, pauses, log, vm, clock} = this.dependencies;
		const fence = lease.fencing();
		if (fence === undefined || !fleet.limits.takeForLeader(entry, clock.suspendAwareNow())) {
			return;
		}

		state.orderedAt = clock.monotonicNow();
		pauses.recordCall(entry);
		fleet.limits.countSend(entry);
		const acceptedOrders = this.#acceptedOrders.get(incarnationKey(step))?.count;
		const {outcome, retryAfterMs} = await admin.orderWeightLoad(entry, {
			model: step.model, version: step.version, holder: vm, fence, acceptedOrders,
		});
		pauses.record(entry, retryAfterMs);
		log.write(eventLog.LogEvent.OrderSent, {
			endpoint: step.endpoint, model: step.model, version: step.version, fence, expected: acceptedOrders, outcome,
		});
		if (outcome === ports.OrderOutcome.AlreadyDone) {
			fleet.registry.recordObservedWeights(step.endpoint, step.bornAt, step, clock.suspendAwareNow());
		}

		if (outcome === ports.OrderOutcome.Conflict) {
			// The engine accepted another order in between: its report is read before the next order.
			this.#acceptedOrders.delete(incarnationKey(step));
			state.orderedAt = undefined;
		}

		if (outcome === ports.OrderOutcome.Fenced) {
			lease.handleFenced();
		}

		if (outcome === ports.OrderOutcome.Rejected) {
			fleet.health.recordUnresponsive(step.endpoint);
		}
	}

	async #readReport(step: core.rollout.RolloutStep, state: StepState, entry: core.fleet.EndpointEntry): Promise<void> {
		const {admin, fleet, clock} = this.dependencies;
		if (!fleet.limits.takeForLeader(entry, clock.suspendAwareNow())) {
			return;
		}

		state.reportReadAt = clock.monotonicNow();
		this.dependencies.pauses.recordCall(entry);
		fleet.limits.countSend(entry);
		const read = await admin.readReport(entry);
		read.ifLeft(err => {
			this.dependencies.pauses.record(entry, err.retryAfterMs);
		});
		read.ifRight(report => {
			const isSameIncarnation = report.bornAt === 0 || report.bornAt === step.bornAt;
			if (!isSameIncarnation) {
				return;
			}

			this.#acceptedOrders.set(incarnationKey(step), {engine: {id: step.endpoint, bornAt: step.bornAt}, count: report.acceptedOrders});
			state.isBusy = report.isBusy;
			const version = report.weights.get(step.model);
			if (version !== undefined && !report.isBusy) {
				fleet.registry.recordObservedWeights(step.endpoint, step.bornAt, {model: step.model, version}, clock.suspendAwareNow());
			}
		});
	}
}

/** Returns a key for the incarnation of the engine of a step. */
function incarnationKey(step: core.rollout.RolloutStep): string {
	return `${step.endpoint}/${step.bornAt}`;
}

/** Returns a key for a step, which is the same in all of its phases. */
function keyOfStep(step: core.rollout.RolloutStep): string {
	return `${incarnationKey(step)}/${step.model}/${step.version}`;
}

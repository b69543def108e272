import * as core from '@bluebellmast/core';
import type * as clients from '@bluebellmast/kv';
import type * as fleetState from '../placement/fleet-state.js';
import * as ports from '../ports/index.js';
import type * as clocks from '../util/clocks.js';
import * as eventLog from '../util/event-log.js';
import type * as dutyController from './duty-controller.js';
import * as dutyKeys from './duty-keys.js';
import * as leaseController from './lease-controller.js';
import * as planCodec from './plan-codec.js';

/** Times of a roll-out, in milliseconds. */
export type RolloutTimes = {
	/** Time from the writing of the plan until all VMs have left the engine out of placement. */
	readonly settleMs: number;
	/** Pause between two reports that are read of an engine that loads. */
	readonly reportEveryMs: number;
	/** Time after an order without an answer, or without an effect, after which it is sent again. */
	readonly reorderMs: number;
};

/**
 * A change reaches the watchers within a round trip, and reports lag a hundred milliseconds. An order is given up after half a
 * second; until it is repeated, a report can tell that the engine has begun to load. Orders that are carried out late come
 * two seconds late at the earliest, and find that the engine has accepted another one.
 */
export const defaultRolloutTimes: RolloutTimes = {settleMs: 60, reportEveryMs: 120, reorderMs: 800};

/** What the controller works with. */
export type RolloutControllerParts = {
	readonly vm: string;
	readonly store: clients.kv.KeyValueClient;
	readonly duties: dutyController.DutyController;
	readonly lease: leaseController.LeaseController;
	readonly fleet: fleetState.FleetState;
	readonly config: core.routing.ConfigState;
	readonly admin: ports.EndpointAdmin;
	readonly clock: clocks.Clocks;
	readonly log: eventLog.EventLog;
	readonly terms: core.rollout.RolloutLimits;
};

/** What the leader has done for one step. */
type StepState = {
	readonly plannedAt: number;
	orderedAt?: number;
	reportedAt: number;
	/** Whether the engine carries out an order, as last reported. */
	isBusy: boolean;
	/** Whether a call to the engine is under way. */
	isCalling: boolean;
};

/** As the leader, brings the engines to the newest named weights: plans, publishes, orders, and reads back. */
export class RolloutController {
	readonly #states = new Map<string, StepState>();
	/**
	 * Orders that each incarnation has accepted, as last reported. Each order names this number, so that one without an
	 * answer that is carried out late can't undo a newer one.
	 */
	readonly #acceptedOrders = new Map<string, number>();
	/** When the last publication began, in steady milliseconds. */
	#publishedAt = -Infinity;
	/** Whether an order is due that needs another publication. */
	#needsRound = false;

	constructor(
		private readonly parts: RolloutControllerParts,
		private readonly times: RolloutTimes = defaultRolloutTimes,
	) {}

	/** Does what is due, if this VM leads. */
	async tick(): Promise<void> {
		const fence = this.parts.lease.fencing();
		if (fence === undefined) {
			this.#states.clear();
			this.#acceptedOrders.clear();
			return;
		}

		const {fleet} = this.parts;
		const planned = core.rollout.planRollout({
			plan: fleet.plan, engines: this.#listEngines(), targets: fleet.targets.newestVersions(), named: this.#listNamed(), fence,
		}, this.parts.terms);
		const plan = {...planned, round: planned.round + (this.#needsRound ? 1 : 0)};
		const mustPublish = this.#needsRound || !core.rollout.isSamePlan(plan, fleet.plan);
		if (mustPublish && !(await this.#publish(plan))) {
			return;
		}

		const loading = plan.steps.filter(step => step.phase === core.rollout.RolloutPhase.Loading);
		for (const step of loading) {
			void this.#advance(step);
		}
	}

	/** Lists the named versions by the wall clock, the only one that VMs share. */
	#listNamed(): core.rollout.NamedVersion[] {
		const {fleet, clock} = this.parts;
		const offset = clock.wallNow() - clock.monotonicNow();
		return fleet.targets.list().map(({model, version, seenAt}) => ({model, version, seenAt: Math.round(seenAt + offset)}));
	}

	#listEngines(): core.rollout.RolloutEngine[] {
		const {fleet, config, clock} = this.parts;
		const now = clock.monotonicNow();
		const engines: core.rollout.RolloutEngine[] = [];
		for (const pool of config.table?.config.pools ?? []) {
			for (const entry of pool.engine === undefined ? [] : fleet.registry.listReady(pool.name)) {
				for (const model of pool.engine?.models ?? []) {
					const version = fleet.registry.weightVersion(entry.id, model);
					if (version !== undefined && fleet.health.isResponsive(entry.id)) {
						engines.push({
							endpoint: entry.id, bornAt: entry.bornAt, model, version, active: fleet.loads.countActive(entry.id, fleet.peers.countActive(entry.id, now), now),
						});
					}
				}
			}
		}

		return engines;
	}

	async #publish(plan: core.rollout.RolloutPlan): Promise<boolean> {
		const {store, duties, clock, log} = this.parts;
		const startedAt = clock.monotonicNow();
		const swap = await store.compareAndSwap(dutyKeys.planKey, duties.view.planRevision, planCodec.encodePlan(plan));
		const result = swap.toMaybe().extract();
		if (!result?.swapped) {
			// The feed brings the plan that stands, and the next round goes on from there.
			return false;
		}

		this.#publishedAt = startedAt;
		this.#needsRound = false;
		duties.noteOwnPlan(plan, result.revision);
		log.write(eventLog.LogEvent.RolloutPlanWritten, {fence: plan.fence, steps: plan.steps.length, revision: result.revision});
		return true;
	}

	async #advance(step: core.rollout.RolloutStep): Promise<void> {
		const now = this.parts.clock.monotonicNow();
		const key = `${incarnationOf(step)}/${step.model}/${step.version}`;
		const state = this.#states.get(key) ?? {
			plannedAt: now, reportedAt: -Infinity, isBusy: false, isCalling: false,
		};
		this.#states.set(key, state);
		const entry = this.parts.fleet.registry.get(step.endpoint);
		if (entry === undefined || state.isCalling) {
			return;
		}

		state.isCalling = true;
		try {
			await this.#call(step, state, entry, now);
		} finally {
			state.isCalling = false;
		}
	}

	async #call(
		step: core.rollout.RolloutStep,
		state: StepState,
		entry: core.fleet.EndpointEntry,
		now: number,
	): Promise<void> {
		const isReportDue = now - Math.max(state.reportedAt, state.orderedAt ?? -Infinity) >= this.times.reportEveryMs;
		if (!this.#acceptedOrders.has(incarnationOf(step))) {
			await (isReportDue ? this.#readReport(step, state, entry) : undefined);
			return;
		}

		const mustOrder = !state.isBusy && (state.orderedAt === undefined
			? now - state.plannedAt >= this.times.settleMs
			: now - state.orderedAt >= this.times.reorderMs);
		if (mustOrder && now - this.#publishedAt > leaseController.orderWindowMs) {
			// A later leader could not know of an order that no publication announced.
			this.#needsRound = true;
		} else if (mustOrder) {
			await this.#order(step, state, entry);
		} else if (isReportDue && (state.isBusy || state.orderedAt !== undefined)) {
			await this.#readReport(step, state, entry);
		}
	}

	async #order(step: core.rollout.RolloutStep, state: StepState, entry: core.fleet.EndpointEntry): Promise<void> {
		const {lease, admin, fleet, log, vm, clock} = this.parts;
		const fence = lease.fencing();
		if (fence === undefined) {
			return;
		}

		state.orderedAt = clock.monotonicNow();
		const acceptedOrders = this.#acceptedOrders.get(incarnationOf(step));
		const outcome = await admin.orderLoad(entry, {
			model: step.model, version: step.version, holder: vm, fence, acceptedOrders,
		});
		log.write(eventLog.LogEvent.OrderSent, {
			endpoint: step.endpoint, model: step.model, version: step.version, fence, expected: acceptedOrders, outcome,
		});
		if (outcome === ports.OrderOutcome.AlreadyDone) {
			fleet.registry.noteObservedWeights(step.endpoint, step.bornAt, step, clock.monotonicNow());
		}

		if (outcome === ports.OrderOutcome.Conflict) {
			// Another order came in between: what the engine holds is read before the next one.
			this.#acceptedOrders.delete(incarnationOf(step));
			state.orderedAt = undefined;
		}

		if (outcome === ports.OrderOutcome.Fenced) {
			lease.noteFenced();
		}

		if (outcome === ports.OrderOutcome.Rejected) {
			fleet.health.noteGone(step.endpoint);
		}
	}

	async #readReport(step: core.rollout.RolloutStep, state: StepState, entry: core.fleet.EndpointEntry): Promise<void> {
		const {admin, fleet, clock} = this.parts;
		state.reportedAt = clock.monotonicNow();
		const read = await admin.readReport(entry);
		read.ifRight(report => {
			const isSame = report.bornAt === 0 || report.bornAt === step.bornAt;
			if (!isSame) {
				return;
			}

			this.#acceptedOrders.set(incarnationOf(step), report.acceptedOrders);
			state.isBusy = report.isBusy;
			const version = report.weights.get(step.model);
			if (version !== undefined && !report.isBusy) {
				fleet.registry.noteObservedWeights(step.endpoint, step.bornAt, {model: step.model, version}, clock.monotonicNow());
			}
		});
	}
}

/** Names the incarnation of the engine that a step is for. */
function incarnationOf(step: core.rollout.RolloutStep): string {
	return `${step.endpoint}/${step.bornAt}`;
}

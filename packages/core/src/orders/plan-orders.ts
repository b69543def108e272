import * as manifestRules from '../manifest/index.js';
import * as model from '../model/index.js';
import * as invariant from '../util/invariant.js';
import * as desired from './desired-weights.js';
import * as order from './order.js';

/** Input of `planOrders`. */
export type PlanInput = {
	readonly manifest: model.Manifest;
	/** State of each engine that responded recently; the others get no orders. */
	readonly engines: ReadonlyMap<model.EndpointId, order.EngineState>;
	readonly inFlight: readonly order.OrderInFlight[];
};

/** Limits of a roll-out. */
export type PlanLimits = {
	/** Fraction of a pool's engines, from 0 to 1, that may drain at the same time; at least one engine may. */
	readonly maxDrainingShare: number;
	/** Milliseconds of draining after which an engine counts as drained even if requests are still running. */
	readonly drainTimeoutMs: number;
};

export const defaultPlanLimits: PlanLimits = {maxDrainingShare: 0.1, drainTimeoutMs: 30_000};

/** Orders to send now, and the engines to drain, which get no new requests. */
export type Plan = {
	readonly orders: readonly order.PlannedOrder[];
	readonly draining: readonly model.EndpointId[];
};

type Engine = {
	readonly description: model.Endpoint;
	readonly state: order.EngineState;
	readonly missing: readonly model.WeightsKey[];
	readonly unneeded: readonly model.WeightsKey[];
	/** Whether it is not leaving and holds weights that may be served. */
	readonly isServing: boolean;
	/** Whether it needs no change: it is leaving, or has the desired weights and role. */
	readonly isComplete: boolean;
};

/** A pool with the input of its plan. */
type Pool = {
	readonly service: model.Service;
	readonly engines: readonly Engine[];
	readonly draining: ReadonlySet<model.EndpointId>;
	readonly recalled: ReadonlySet<model.BatchKey>;
	readonly inFlight: readonly order.OrderInFlight[];
};

/**
 * Plans the orders of all pools from the current state of the engines, so that a new leader continues where the previous
 * one stopped. Recalled weights are unloaded at once. Loads stay within the limit of the weight store. Engines that serve
 * are drained before other changes, a bounded fraction of the pool at a time.
 *
 * @throws InvariantError when the plan loads recalled weights, exceeds the load limit or drains all serving engines.
 */
export function planOrders(input: PlanInput, now: number, limits: PlanLimits = defaultPlanLimits): Plan {
	const plans = input.manifest.services
		.filter(service => service.type === model.ServiceType.Engine)
		.map(service => planPool(input, service, now, limits));
	return {
		orders: plans.flatMap(plan => plan.orders),
		draining: plans.flatMap(plan => plan.draining),
	};
}

function planPool(input: PlanInput, service: model.Service, now: number, limits: PlanLimits): Plan {
	const recalled = manifestRules.recalledSet(input.manifest);
	const wanted = desired.resolveDesiredWeights(input.manifest, service);
	const engines = listEngines(input, service, wanted, recalled);
	const draining = new Set(chooseDraining(engines, limits).map(engine => engine.description.id));
	const pool: Pool = {
		service, engines, draining, recalled, inFlight: input.inFlight,
	};
	const drainStartedBefore = now - limits.drainTimeoutMs;
	const changeableEngines = engines.filter(engine => !engine.isComplete && isReadyToChange(engine, pool, drainStartedBefore));
	const orders = [
		...planRecalls(engines, recalled),
		...planLoads(changeableEngines, pool),
		...changeableEngines.flatMap(engine => planUnloadsAndRole(engine)),
	].filter(planned => !isInFlight(planned, input.inFlight));
	checkPlan(orders, pool);
	return {orders, draining: [...draining]};
}

function listEngines(
	input: PlanInput,
	service: model.Service,
	wanted: desired.DesiredWeights,
	recalled: ReadonlySet<model.BatchKey>,
): Engine[] {
	const result: Engine[] = [];
	for (const description of input.manifest.endpoints) {
		const state = input.engines.get(description.id);
		if (description.service !== service.id || state === undefined) {
			continue;
		}

		const missing = [...wanted.preferred].filter(key => !state.weights.includes(key));
		const unneeded = state.weights.filter(key => !wanted.allowed.has(key) && !desired.isRecalledKey(key, recalled));
		result.push({
			description,
			state,
			missing: description.leaving ? [] : missing,
			unneeded: description.leaving ? [] : unneeded,
			isServing: !description.leaving && state.weights.some(key => wanted.allowed.has(key)),
			isComplete: description.leaving
				|| (missing.length === 0 && unneeded.length === 0 && state.role === description.role),
		});
	}

	return result;
}

/** Chooses the engines to drain: those that load first, then those that drain, then by ID, so that the choice is stable. */
function chooseDraining(engines: readonly Engine[], limits: PlanLimits): Engine[] {
	const serving = engines.filter(engine => engine.isServing);
	const maxDraining = Math.min(Math.max(1, Math.floor(engines.length * limits.maxDrainingShare)), serving.length - 1);
	const rank = (engine: Engine): number => {
		if (engine.state.loading.length > 0) {
			return 0;
		}

		return engine.state.drainingSince === undefined ? 2 : 1;
	};

	return serving
		.filter(engine => !engine.isComplete)
		.sort((a, b) => rank(a) - rank(b) || (a.description.id < b.description.id ? -1 : 1))
		.slice(0, Math.max(0, maxDraining));
}

/** Returns whether an engine may be changed: it is drained, serves nothing or is the only one that serves. */
function isReadyToChange(engine: Engine, pool: Pool, drainStartedBefore: number): boolean {
	if (!engine.isServing || pool.engines.filter(other => other.isServing).length === 1) {
		return true;
	}

	const {drainingSince, running} = engine.state;
	if (!pool.draining.has(engine.description.id) || drainingSince === undefined) {
		return false;
	}

	return running === 0 || drainingSince <= drainStartedBefore;
}

function planRecalls(engines: readonly Engine[], recalled: ReadonlySet<model.BatchKey>): order.PlannedOrder[] {
	return engines.flatMap(({description, state}) => [...new Set([...state.weights, ...state.loading])]
		.filter(key => desired.isRecalledKey(key, recalled))
		.map(weights => ({
			endpoint: description.id,
			action: order.OrderAction.Unload,
			reason: order.OrderReason.Recalled,
			weights,
		})));
}

/** Counts the loads of a pool that the engines report or that were ordered and are not reported yet. */
function countLoads(engines: readonly Engine[], inFlight: readonly order.OrderInFlight[]): number {
	const stateByEndpoint = new Map(engines.map(engine => [engine.description.id, engine.state]));
	const unreportedLoads = inFlight.filter(sent => {
		const state = stateByEndpoint.get(sent.endpoint);
		return sent.action === order.OrderAction.Load && state !== undefined && !state.loading.includes(sent.weights!);
	});
	return unreportedLoads.length + engines.reduce((sum, engine) => sum + engine.state.loading.length, 0);
}

function planLoads(changeableEngines: readonly Engine[], pool: Pool): order.PlannedOrder[] {
	const {service, engines, inFlight} = pool;
	const freeSlots = Math.max(0, service.maxConcurrentLoads - countLoads(engines, inFlight));
	const candidates = changeableEngines.flatMap(({description, state, missing}) => missing
		.filter(weights => !state.loading.includes(weights))
		.map(weights => ({
			endpoint: description.id,
			action: order.OrderAction.Load,
			reason: order.OrderReason.Missing,
			weights,
		})));
	return candidates.filter(candidate => !isInFlight(candidate, inFlight)).slice(0, freeSlots);
}

/** Plans the unloads and the role change of an engine; empty until it holds all weights that it is to hold. */
function planUnloadsAndRole(engine: Engine): order.PlannedOrder[] {
	const {description, state, missing, unneeded} = engine;
	if (missing.length > 0) {
		return [];
	}

	const orders: order.PlannedOrder[] = unneeded.map(weights => ({
		endpoint: description.id,
		action: order.OrderAction.Unload,
		reason: order.OrderReason.Unneeded,
		weights,
	}));
	if (state.role !== description.role) {
		orders.push({
			endpoint: description.id,
			action: order.OrderAction.SetRole,
			reason: order.OrderReason.RoleChanged,
			role: description.role,
		});
	}

	return orders;
}

function isInFlight(planned: order.PlannedOrder, inFlight: readonly order.OrderInFlight[]): boolean {
	return inFlight.some(sent => sent.endpoint === planned.endpoint
		&& sent.action === planned.action
		&& sent.weights === planned.weights
		&& sent.role === planned.role);
}

function checkPlan(orders: readonly order.PlannedOrder[], pool: Pool): void {
	const {service, engines, draining, recalled, inFlight} = pool;
	const loads = orders.filter(planned => planned.action === order.OrderAction.Load);
	invariant.assertInvariant(
		loads.every(load => !desired.isRecalledKey(load.weights!, recalled)),
		'orders.no-recalled-load',
		() => JSON.stringify(loads),
	);
	invariant.assertInvariant(
		loads.length === 0 || loads.length + countLoads(engines, inFlight) <= service.maxConcurrentLoads,
		'orders.load-limit',
		() => `${service.id}: ${loads.length} new loads exceed the limit of concurrent loads`,
	);
	const serving = engines.filter(engine => engine.isServing);
	invariant.assertInvariant(
		serving.length === 0 || serving.some(engine => !draining.has(engine.description.id)),
		'orders.capacity-kept',
		() => `${service.id}: ${draining.size} of ${serving.length} serving engines are draining`,
	);
}

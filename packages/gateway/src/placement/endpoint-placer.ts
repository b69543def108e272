import * as core from '@bluebellmast/core';
import type * as requestContext from '../call/request-context.js';
import type * as ports from '../ports/index.js';
import type * as clocks from '../util/clocks.js';
import type * as endpointPauses from './endpoint-pauses.js';
import type * as fleetState from './fleet-state.js';
import * as weightConditions from './weight-conditions.js';

/** Options of placement on this deployment. */
export type PlacerOptions = {
	readonly dataCentre: string;
	/** How long older weights may be used after a newer version was named, in milliseconds. */
	readonly maxOutdatedWeightsMs: number;
	readonly costs: core.fleet.PlacementCosts;
	readonly admission: core.fleet.AdmissionLimits;
};

const msPerSecond = 1000;
/** Age of the last observation of a stored part above which it is saved again, in milliseconds, since observations get lost. */
const resaveAgeMs = 20_000;

/** Engine priority of the most urgent large request; engine priorities range from 0 to 9. */
const largeRequestOffset = 5;

/** The endpoint chosen for a request, and what the endpoint is told. */
export type Placement = {
	readonly entry: core.fleet.EndpointEntry;
	/** The choice with its expected cost. */
	readonly choice: core.fleet.EndpointChoice;
	/** Whether the endpoint has capacity for the request now. */
	readonly hasCapacity: boolean;
	/** Shared prefixes of the prompt whose location is tracked, shortest first. */
	readonly prefixes: readonly core.fleet.SharedPrefix[];
	readonly weightVersion?: number;
	/** Priority of the request at the engine, from 0 to 9; 0 is the most urgent. */
	readonly enginePriority?: number;
	readonly cacheNamespace?: string;
	/** `IP:PORT` of the cache store to fetch from. */
	readonly fetchCacheFrom?: string;
	/** `IP:PORT` of the cache store to save to. */
	readonly saveCacheTo?: string;
};

/** A request that is placed, and its conditions on the versions of its model's weights. */
type PlacedCall = {
	readonly call: requestContext.RoutedRequest;
	readonly pool: core.routing.PoolName;
	/** Absent without a prompt. */
	readonly conditions: weightConditions.WeightConditions | undefined;
};

/** Chooses endpoints for requests by this VM's view of the fleet. */
export class EndpointPlacer {
	constructor(
		private readonly fleet: fleetState.FleetState,
		private readonly pauses: endpointPauses.EndpointPauses,
		private readonly options: PlacerOptions,
	) {}

	/**
	 * Chooses an endpoint. One that is leaving is chosen only if there is no other, and one that other VMs report as leaving only
	 * if no other has capacity.
	 *
	 * @param excluded - Endpoints at which an attempt of the request has failed.
	 * @returns `undefined` when no endpoint is available for the request.
	 */
	place(
		call: requestContext.RoutedRequest,
		pool: core.routing.PoolName,
		excluded: ReadonlySet<string>,
		now: clocks.Instant,
	): Placement | undefined {
		const conditions = this.#createConditions(call, now.suspendAware);
		let best: Placement | undefined;
		for (const group of this.#groupCandidates({call, pool, conditions}, excluded, now)) {
			const isReported = group.availability === core.fleet.EndpointAvailability.ReportedLeaving;
			const placement = best === undefined || (isReported && !best.hasCapacity)
				? this.#placeAmong(group.entries, {call, pool, conditions}, now)
				: undefined;
			best = best === undefined || placement?.hasCapacity ? placement : best;
		}

		return best;
	}

	/**
	 * Returns whether any request with the same model, target latency and excluded endpoints may find an endpoint with capacity, whatever its prompt.
	 */
	mayHaveCapacity(call: requestContext.RoutedRequest, pool: core.routing.PoolName, excluded: ReadonlySet<string>, now: clocks.Instant): boolean {
		const conditions = this.#createConditions(call, now.suspendAware);
		const isEngine = call.table.findPool(pool)?.engine !== undefined && conditions !== undefined;
		const view: core.fleet.PlacementView = {...this.fleet, costs: this.options.costs};
		const maxBacklogMs = core.fleet.computeMaxBacklogMs(call.route.targetLatencyMs, this.options.admission);
		return this.#groupCandidates({call, pool, conditions}, excluded, now)
			.flatMap(group => group.entries)
			.some(entry => !this.#mustWait(entry, now.suspendAware) && (!isEngine || core.fleet.estimateBacklogMs(entry, view, now.monotonic) <= maxBacklogMs));
	}

	/**
	 * Returns the earliest ramp-up of the endpoints that could serve a request but for a pause; `undefined` if none has asked for one.
	 */
	findFirstRampUp(call: requestContext.RoutedRequest, pool: core.routing.PoolName, now: clocks.Instant): core.fleet.RampUp | undefined {
		const staying = this.fleet.leaving
			.groupByAvailability(this.#listServing(call, pool, this.#createConditions(call, now.suspendAware), now.suspendAware), now.suspendAware)
			.flatMap(group => group.entries);
		const rampUps = staying.map(entry => this.pauses.findRampUp(entry)).filter(each => each !== undefined);
		return rampUps.sort((a, b) => a.resumesInMs - b.resumesInMs)[0];
	}

	/**
	 * Returns how soon a request may be sent to one of the endpoints that limit their requests; `undefined` if it need not wait for that.
	 *
	 * @param queued - Requests that wait for an endpoint of the pool and precede it.
	 */
	findPermitWait(call: requestContext.RoutedRequest, pool: core.routing.PoolName, queued: number, now: clocks.Instant): number | undefined {
		const {limits} = this.fleet;
		if (!limits.hasLimits) {
			return undefined;
		}

		const entries = this.#groupCandidates({call, pool, conditions: this.#createConditions(call, now.suspendAware)}, new Set(), now)
			.flatMap(group => group.entries);
		const waits = entries.map(entry => limits.waitMs(entry, now.suspendAware));
		const next = Math.min(...waits);
		if (entries.length === 0 || next === 0) {
			return undefined;
		}

		let permitsPerSecond = 0;
		for (const entry of entries) {
			permitsPerSecond += limits.getShare(entry, now.suspendAware);
		}

		return next + (queued / permitsPerSecond * msPerSecond);
	}

	/**
	 * Returns the time in which the endpoints that could serve a request take one from any VM, in milliseconds; `undefined` if it isn't their limit
	 * that keeps this VM from sending it.
	 */
	findPermitInterval(call: requestContext.RoutedRequest, pool: core.routing.PoolName, now: clocks.Instant): number | undefined {
		const serving = this.#listServing(call, pool, this.#createConditions(call, now.suspendAware), now.suspendAware);
		let requestsPerSecond = 0;
		for (const entry of serving) {
			requestsPerSecond += this.fleet.limits.getRate(entry) ?? 0;
		}

		return requestsPerSecond === 0 ? undefined : msPerSecond / requestsPerSecond;
	}

	/** Decides whether a request may wait until an engine of its pool has capacity for it. */
	decideWait(pool: core.routing.PoolName, conditions: Omit<core.fleet.WaitConditions, 'tokensPerMs'>, now: clocks.Instant): core.fleet.WaitDecision {
		const engines = this.fleet.registry.listReady(pool, now.suspendAware)
			.filter(entry => this.fleet.health.isResponsive(entry.id) && !core.rollout.isLoading(this.fleet.plan, entry.id));
		const staying = engines.filter(entry => !this.fleet.leaving.isLeaving(entry));
		const tokensPerMs = (staying.length > 0 ? staying : engines).length * this.options.costs.prefillTokensPerMs / this.fleet.vmCount;
		return core.fleet.decideWait({...conditions, tokensPerMs}, this.options.admission);
	}

	/** Returns whether a request that was sent but has not started must be taken back, since its weights may soon no longer be used. */
	mustTakeBack(call: requestContext.RoutedRequest, placement: Placement, now: clocks.Instant): boolean {
		return placement.weightVersion !== undefined
			&& core.rollout.mustTakeBack(this.#startWithinMs(call.head.prompt!.model, placement.weightVersion, now.suspendAware));
	}

	/** Whether a pool has an endpoint that gets no requests only because it is silent. */
	hasSilentEndpoint(pool: core.routing.PoolName, now: clocks.Instant): boolean {
		return this.fleet.registry.listReady(pool, now.suspendAware).some(entry => this.fleet.health.isSilent(entry.id));
	}

	/** Counts the endpoints of a pool by why they get no requests, for the log. */
	describePool(call: requestContext.RoutedRequest, pool: core.routing.PoolName, now: clocks.Instant): core.log.RefusalInputs {
		const ready = this.fleet.registry.listReady(pool, now.suspendAware);
		const responsive = ready.filter(entry => this.fleet.health.isResponsive(entry.id));
		const conditions = this.#createConditions(call, now.suspendAware);
		return {
			ready: ready.length,
			responsive: responsive.length,
			paused: responsive.filter(entry => this.pauses.findRampUp(entry) !== undefined || this.#isRampUpLimited(entry)).length,
			limited: responsive.filter(entry => this.fleet.limits.waitMs(entry, now.suspendAware) > 0).length,
			leaving: responsive.filter(entry => this.fleet.leaving.isLeaving(entry)).length,
			loading: responsive.filter(entry => core.rollout.isLoading(this.fleet.plan, entry.id)).length,
			serving: conditions === undefined ? undefined : responsive.filter(entry => this.#canServe(entry, conditions)).length,
		};
	}

	/** Groups the endpoints that may be sent a request by whether they are leaving, the most preferred first. */
	#groupCandidates(
		{call, pool, conditions}: PlacedCall,
		excluded: ReadonlySet<string>,
		now: clocks.Instant,
	): core.fleet.AvailabilityGroup[] {
		const resumed = this.#listServing(call, pool, conditions, now.suspendAware)
			.filter(entry => !excluded.has(entry.id) && this.pauses.findRampUp(entry) === undefined
				&& this.fleet.limits.waitMs(entry, now.suspendAware) < Infinity);
		return this.fleet.leaving.groupByAvailability(resumed, now.suspendAware);
	}

	#isRampUpLimited(entry: core.fleet.EndpointEntry): boolean {
		return this.pauses.isRampUpLimited(entry, entry.slots / this.fleet.vmCount);
	}

	/** Returns whether an endpoint may be sent nothing at the moment, as it ramps up after a pause or limits its requests. */
	#mustWait(entry: core.fleet.EndpointEntry, now: number): boolean {
		return this.#isRampUpLimited(entry) || this.fleet.limits.waitMs(entry, now) > 0;
	}

	/**
	 * Lists the endpoints that could serve a request if none had asked for a pause or were leaving.
	 *
	 * @param now - Milliseconds of the clock that includes suspensions.
	 */
	#listServing(
		call: requestContext.RoutedRequest,
		pool: core.routing.PoolName,
		conditions: weightConditions.WeightConditions | undefined,
		now: number,
	): core.fleet.EndpointEntry[] {
		const engineConditions = call.table.findPool(pool)?.engine === undefined ? undefined : conditions;
		return this.fleet.registry.listReady(pool, now)
			.filter(entry => this.fleet.health.isResponsive(entry.id) && (engineConditions === undefined || this.#canServe(entry, engineConditions)));
	}

	/**
	 * Creates the conditions of a request on weights; `undefined` without a prompt.
	 *
	 * @param now - Milliseconds of the clock that includes suspensions.
	 */
	#createConditions({head, account}: requestContext.RoutedRequest, now: number): weightConditions.WeightConditions | undefined {
		return head.prompt && new weightConditions.WeightConditions({
			targets: this.fleet.targets, model: head.prompt.model, account, maxOutdatedMs: this.options.maxOutdatedWeightsMs, now,
		});
	}

	/** Chooses among endpoints of the same availability; those that may be sent nothing at the moment come after the others. */
	#placeAmong(
		entries: readonly core.fleet.EndpointEntry[],
		{call, pool, conditions}: PlacedCall,
		now: clocks.Instant,
	): Placement | undefined {
		const engineConditions = call.table.findPool(pool)?.engine === undefined ? undefined : conditions;
		const usesEngine = engineConditions !== undefined;
		const unlimited = entries.filter(entry => !this.#mustWait(entry, now.suspendAware));
		const candidates = (unlimited.length > 0 ? unlimited : entries)
			.map(entry => this.#createCandidate(entry, engineConditions));
		const view: core.fleet.PlacementView = {...this.fleet, costs: this.options.costs};
		const choice = core.fleet.chooseEndpoint(candidates, this.#requirementsOf(call, usesEngine), view, now.monotonic);
		if (choice === undefined) {
			return undefined;
		}

		const placement = this.#createPlacement(call, choice, usesEngine, now.monotonic);
		return unlimited.length > 0 ? placement : {...placement, hasCapacity: false};
	}

	#canServe(entry: core.fleet.EndpointEntry, conditions: weightConditions.WeightConditions): boolean {
		const version = this.fleet.registry.weightVersion(entry.id, conditions.model);
		return version !== undefined && !core.rollout.isLoading(this.fleet.plan, entry.id) && conditions.of(version).canStart;
	}

	/** @param conditions - Absent if the service has no engines. */
	#createCandidate(entry: core.fleet.EndpointEntry, conditions: weightConditions.WeightConditions | undefined): core.fleet.Candidate {
		const isPausedForPeers = this.pauses.isPausedForPeers(entry);
		if (conditions === undefined) {
			return {
				entry, hasOldWeights: false, isPausedForPeers, startWithinMs: Infinity, cacheNamespace: '',
			};
		}

		const {hasOldWeights, startWithinMs, cacheNamespace} = conditions.of(this.fleet.registry.weightVersion(entry.id, conditions.model) ?? 0);
		return {
			entry, hasOldWeights, isPausedForPeers, startWithinMs, cacheNamespace,
		};
	}

	/** @param now - Milliseconds of the clock that includes suspensions. */
	#startWithinMs(model: string, version: number, now: number): number {
		return this.fleet.targets.startWithinMs(model, version, this.options.maxOutdatedWeightsMs, now);
	}

	#requirementsOf(call: requestContext.RoutedRequest, usesEngine: boolean): core.fleet.PlacementRequirements {
		const {prompt} = call.head;
		return usesEngine && prompt !== undefined
			? {dataCentre: this.options.dataCentre, parts: prompt.parts, sharedParts: countSharedParts(prompt)}
			: {dataCentre: this.options.dataCentre, parts: [], sharedParts: 0};
	}

	#createPlacement(
		call: requestContext.RoutedRequest,
		choice: core.fleet.EndpointChoice,
		usesEngine: boolean,
		now: number,
	): Placement {
		const {entry, cacheNamespace} = choice.candidate;
		if (!usesEngine) {
			return {
				entry, choice, hasCapacity: true, prefixes: [],
			};
		}

		const prompt = call.head.prompt!;
		const prefixes = core.fleet.listSharedPrefixes(cacheNamespace, prompt.parts, countSharedParts(prompt));
		const canUseStore = prefixes.length > 0 && this.fleet.parts.isStoreUsable(now);
		const cacheStore = canUseStore ? call.table.config.cacheStores[0]?.address : undefined;
		const mustSave = prefixes.some(prefix => this.fleet.parts.storedAgeMs(prefix.key, now) > resaveAgeMs);
		return {
			entry,
			choice,
			hasCapacity: core.fleet.canAdmit(choice, call.route.targetLatencyMs, this.options.admission),
			prefixes,
			enginePriority: getEnginePriority(call, choice, this.options.admission),
			weightVersion: this.fleet.registry.weightVersion(entry.id, prompt.model),
			cacheNamespace,
			fetchCacheFrom: cacheStore,
			saveCacheTo: mustSave ? cacheStore : undefined,
		};
	}
}

/** Returns the number of leading parts of a prompt that other requests share: all but the last one. */
function countSharedParts(prompt: ports.PromptMetadata): number {
	return Math.max(0, prompt.parts.length - 1);
}

/**
 * Returns the priority of a request at an engine, from 0 to 9. Small requests precede large ones, which take several times as
 * long; among each, the priority of the account or else of the route decides.
 */
function getEnginePriority(
	call: requestContext.RoutedRequest,
	choice: core.fleet.EndpointChoice,
	limits: core.fleet.AdmissionLimits,
): number {
	const isLarge = choice.prefillTokens > limits.maxSmallPrefillTokens;
	return (isLarge ? largeRequestOffset : 0) + Math.min(largeRequestOffset - 1, Math.max(0, getPriority(call)));
}

/** Returns the priority of a request: the one of its account, or else of its route. */
function getPriority(call: requestContext.RoutedRequest): number {
	return call.account?.priority ?? call.route.priority;
}

import * as core from '@bluebellmast/core';
import type * as requestContext from '../call/request-context.js';
import type * as fleetState from './fleet-state.js';

/** Terms of placement on this deployment. */
export type PlacerTerms = {
	readonly dataCentre: string;
	/** Longest time for which older weights may be used after newer ones were named, in milliseconds. */
	readonly versionMs: number;
	readonly costs: core.fleet.PlacementCosts;
	readonly admission: core.fleet.AdmissionLimits;
};

/** Part of the bound on older weights that is kept for the time until the endpoint begins, in milliseconds: about its longest queue. */
const versionMarginMs = 1200;
/** Time after which older weights cost the value of answers, in milliseconds, by the platform's rules. */
const oldWeightsGraceMs = 1500;
/** Parts of a prompt from this size on are fetched from and saved to the cache store, in tokens. */
const minStoredTokens = 1000;

/** Age of the last news of a stored part from which it is saved once more, in milliseconds, since news get lost. */
const saveAgainMs = 20_000;

/** Rank of the most urgent large request at an engine, where ranks reach from 0 to 9. */
const largeOffset = 5;

/** Where a request goes, and what the endpoint is told. */
export type Placement = {
	readonly entry: core.fleet.EndpointEntry;
	/** What the choice rested on. */
	readonly choice: core.fleet.EndpointChoice;
	/** Whether the endpoint has room for the request now. */
	readonly hasRoom: boolean;
	/** Keys of the shared parts that are worth to be cached. */
	readonly partKeys: readonly string[];
	readonly weightVersion?: number;
	/** Rank of the request at an engine, from 0 to 9; 0 is the most urgent. */
	readonly enginePriority?: number;
	readonly cacheNamespace?: string;
	/** `IP:PORT` of the cache store to fetch from. */
	readonly fetchCacheFrom?: string;
	/** `IP:PORT` of the cache store to save to. */
	readonly saveCacheTo?: string;
};

/** Chooses endpoints for requests by what this VM believes of them. */
export class EndpointPlacer {
	constructor(private readonly fleet: fleetState.FleetState, private readonly terms: PlacerTerms) {}

	/**
	 * Chooses an endpoint.
	 *
	 * @param excluded - Endpoints that failed the request already.
	 * @returns `undefined` when no endpoint may take the request now.
	 */
	place(
		call: requestContext.RoutedRequest,
		pool: core.routing.PoolName,
		excluded: ReadonlySet<string>,
		now: number,
	): Placement | undefined {
		const isEngine = call.table.findPool(pool)?.engine !== undefined && call.head.prompt !== undefined;
		const candidates = this.fleet.registry.listReady(pool)
			.filter(entry => !excluded.has(entry.id) && this.fleet.health.isResponsive(entry.id))
			.filter(entry => !isEngine || this.#mayServe(entry, call.head.prompt.model, now))
			.map(entry => this.#toCandidate(entry, call, isEngine, now));
		const view: core.fleet.PlacementView = {...this.fleet, costs: this.terms.costs};
		const choice = core.fleet.chooseEndpoint(candidates, this.#need(call, isEngine), view, now);
		return choice === undefined ? undefined : this.#describe(call, choice, isEngine, now);
	}

	/** Decides whether a request may wait until an engine of its pool has room for it. */
	decideWait(pool: core.routing.PoolName, outlook: Omit<core.fleet.WaitConditions, 'tokensPerMs'>): core.fleet.WaitDecision {
		const engines = this.fleet.registry.listReady(pool)
			.filter(entry => this.fleet.health.isResponsive(entry.id) && !core.rollout.isLoading(this.fleet.plan, entry.id));
		const tokensPerMs = engines.length * this.terms.costs.prefillTokensPerMs / this.fleet.vms;
		return core.fleet.decideWait({...outlook, tokensPerMs}, this.terms.admission);
	}

	/** Counts the endpoints of a pool by what keeps requests from them, for the log. */
	describePool(call: requestContext.RoutedRequest, pool: core.routing.PoolName, now: number): core.log.RefusalInputs {
		const ready = this.fleet.registry.listReady(pool);
		const responsive = ready.filter(entry => this.fleet.health.isResponsive(entry.id));
		const model = call.head.prompt?.model;
		return {
			ready: ready.length,
			responsive: responsive.length,
			loading: responsive.filter(entry => core.rollout.isLoading(this.fleet.plan, entry.id)).length,
			serving: model === undefined ? undefined : responsive.filter(entry => this.#mayServe(entry, model, now)).length,
		};
	}

	#mayServe(entry: core.fleet.EndpointEntry, model: string, now: number): boolean {
		const version = this.fleet.registry.weightVersion(entry.id, model);
		if (version === undefined || core.rollout.isLoading(this.fleet.plan, entry.id)) {
			return false;
		}

		return this.fleet.targets.outdatedForMs(model, version, now) < this.terms.versionMs - versionMarginMs;
	}

	#toCandidate(
		entry: core.fleet.EndpointEntry,
		call: requestContext.RoutedRequest,
		isEngine: boolean,
		now: number,
	): core.fleet.Candidate {
		if (!isEngine) {
			return {entry, hasOldWeights: false, cacheNamespace: ''};
		}

		const {model} = call.head.prompt!;
		const version = this.fleet.registry.weightVersion(entry.id, model) ?? 0;
		return {
			entry,
			hasOldWeights: this.fleet.targets.outdatedForMs(model, version, now) > oldWeightsGraceMs,
			cacheNamespace: `${model}@${version}${wallOf(call.account)}`,
		};
	}

	#need(call: requestContext.RoutedRequest, isEngine: boolean): core.fleet.PlacementRequirements {
		const parts = isEngine ? call.head.prompt!.parts : [];
		return {dataCentre: this.terms.dataCentre, parts, sharedParts: Math.max(0, parts.length - 1)};
	}

	#describe(
		call: requestContext.RoutedRequest,
		choice: core.fleet.EndpointChoice,
		isEngine: boolean,
		now: number,
	): Placement {
		const {entry, cacheNamespace} = choice.candidate;
		if (!isEngine) {
			return {
				entry, choice, hasRoom: true, partKeys: [],
			};
		}

		const prompt = call.head.prompt!;
		const partKeys = prompt.parts.slice(0, -1)
			.filter(part => part.tokens >= minStoredTokens)
			.map(part => core.fleet.partKey(cacheNamespace, part));
		const usesStore = partKeys.length > 0 && this.fleet.parts.isStoreUsable(now);
		const store = usesStore ? call.table.config.cacheStores[0]?.address : undefined;
		const mustSave = partKeys.some(key => this.fleet.parts.storedAgeMs(key, now) > saveAgainMs);
		return {
			entry,
			choice,
			hasRoom: core.fleet.canAdmit(choice, call.route.targetLatencyMs, this.terms.admission),
			partKeys,
			enginePriority: enginePriorityOf(call, choice, this.terms.admission),
			weightVersion: this.fleet.registry.weightVersion(entry.id, prompt.model),
			cacheNamespace,
			fetchCacheFrom: store,
			saveCacheTo: mustSave ? store : undefined,
		};
	}
}

/**
 * Rank of a request at an engine, from 0 to 9: small requests go before large ones, which take several times as long,
 * and each of them by the account's rank or else the route's.
 */
function enginePriorityOf(call: requestContext.RoutedRequest, choice: core.fleet.EndpointChoice, terms: core.fleet.AdmissionLimits): number {
	const isLarge = choice.prefillTokens > terms.maxSmallPrefillTokens;
	return (isLarge ? largeOffset : 0) + Math.min(largeOffset - 1, Math.max(0, priorityOf(call)));
}

/** Rank of a request: an account's own goes before its route's. */
function priorityOf(call: requestContext.RoutedRequest): number {
	return call.account?.priority ?? call.route.priority;
}

/** Separates the cached state of isolated accounts from all others. */
function wallOf(account: core.routing.ApiAccount | undefined): string {
	return account?.isIsolated ? `+${account.name}` : '';
}

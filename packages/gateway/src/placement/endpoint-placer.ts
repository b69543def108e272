import * as core from '@bluebellmast/core';
import type * as callContext from '../call/call-context.js';
import type * as fleetState from './fleet-state.js';

/** Terms of placement on this deployment. */
export type PlacerTerms = {
	readonly dataCentre: string;
	/** Longest time for which older weights may be used after newer ones were named, in milliseconds. */
	readonly versionMs: number;
	readonly costs: core.fleet.PlacementTerms;
};

/** Part of the bound on older weights that is kept for the time until the endpoint begins, in milliseconds: about its longest queue. */
const versionMarginMs = 2000;
/** Time after which older weights cost the value of answers, in milliseconds, by the platform's rules. */
const oldWeightsGraceMs = 1500;
/** Parts of a prompt from this size on are fetched from and saved to the cache store, in tokens. */
const minStoredTokens = 1000;

/** Where a request goes, and what the endpoint is told. */
export type Placement = {
	readonly entry: core.fleet.EndpointEntry;
	readonly costMs: number;
	readonly prefillTokens: number;
	/** Parts with the namespace in their ids. */
	readonly partKeys: readonly string[];
	readonly weightVersion?: number;
	readonly cacheNamespace?: string;
	readonly cacheStore?: core.routing.CacheStore;
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
		call: callContext.RoutedCall,
		pool: core.routing.PoolName,
		excluded: ReadonlySet<string>,
		now: number,
	): Placement | undefined {
		const {prompt} = call.head;
		const isEngine = call.table.findPool(pool)?.engine !== undefined && prompt !== undefined;
		const candidates = this.fleet.registry.listReady(pool)
			.filter(entry => !excluded.has(entry.id) && this.fleet.health.isResponsive(entry.id))
			.filter(entry => !isEngine || this.#mayServe(entry, prompt.model, now))
			.map(entry => ({entry, hasOldWeights: isEngine && this.#hasOldWeights(entry, prompt.model, now)}));
		const choice = core.fleet.chooseEndpoint(candidates, this.#need(call, isEngine), {...this.fleet, terms: this.terms.costs}, now);
		return choice === undefined ? undefined : this.#describe(call, choice, isEngine);
	}

	#mayServe(entry: core.fleet.EndpointEntry, model: string, now: number): boolean {
		const version = this.fleet.registry.weightVersion(entry.id, model);
		if (version === undefined || core.rollout.isLoading(this.fleet.plan, entry.id)) {
			return false;
		}

		return this.fleet.targets.outdatedForMs(model, version, now) < this.terms.versionMs - versionMarginMs;
	}

	#hasOldWeights(entry: core.fleet.EndpointEntry, model: string, now: number): boolean {
		const version = this.fleet.registry.weightVersion(entry.id, model) ?? 0;
		return this.fleet.targets.outdatedForMs(model, version, now) > oldWeightsGraceMs;
	}

	#need(call: callContext.RoutedCall, isEngine: boolean): core.fleet.PlacementNeed {
		const parts = isEngine ? call.head.prompt!.parts : [];
		const wall = wallOf(call.account);
		return {
			dataCentre: this.terms.dataCentre,
			parts: parts.map(part => ({id: `${wall}/${part.id}`, tokens: part.tokens})),
			sharedParts: Math.max(0, parts.length - 1),
		};
	}

	#describe(call: callContext.RoutedCall, choice: core.fleet.Choice, isEngine: boolean): Placement {
		const {entry, costMs, prefillTokens} = choice;
		if (!isEngine) {
			return {
				entry, costMs, prefillTokens, partKeys: [],
			};
		}

		const prompt = call.head.prompt!;
		const weightVersion = this.fleet.registry.weightVersion(entry.id, prompt.model);
		const wall = wallOf(call.account);
		const largest = Math.max(0, ...prompt.parts.slice(0, -1).map(part => part.tokens));
		return {
			entry,
			costMs,
			prefillTokens,
			partKeys: prompt.parts.map(part => `${wall}/${part.id}`),
			weightVersion,
			cacheNamespace: `${prompt.model}@${weightVersion}${wall}`,
			cacheStore: largest >= minStoredTokens ? call.table.config.cacheStores[0] : undefined,
		};
	}
}

/** Separates the cached state of isolated accounts from all others. */
function wallOf(account: core.routing.ApiAccount | undefined): string {
	return account?.isIsolated ? `+${account.name}` : '';
}

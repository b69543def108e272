import type * as homeRanker from '../placement/home-ranker.js';
import * as outdatedWeights from '../rollout/outdated-weights.js';
import type * as endpointEntry from './endpoint-entry.js';
import type * as endpointHealth from './endpoint-health.js';
import type * as endpointLoads from './endpoint-loads.js';
import type * as partLocations from './part-locations.js';
import type * as peerLoads from './peer-loads.js';
import * as sharedPrefix from './shared-prefix.js';

/** Costs of a placement, in milliseconds of delay unless the name says otherwise. */
export type PlacementCosts = {
	/** Prompt tokens that an engine computes per millisecond, interleaved with the decode steps of running requests. */
	readonly prefillTokensPerMs: number;
	/** Prompt tokens that an engine fetches from the cache store per millisecond. */
	readonly fetchTokensPerMs: number;
	/** Cost of each request in flight at an engine. */
	readonly activeRequestMs: number;
	/** Cost of a queue with as many requests as the endpoint has slots. */
	readonly fullQueueMs: number;
	/** Cost of an endpoint that fails every request; scaled by the failure rate. */
	readonly failureMs: number;
	/** Cost of an endpoint in another data centre, since the platform charges for traffic between data centres. */
	readonly otherDataCentreMs: number;
	/** Cost of weights older than the newest named version, which reduce the value of an answer by a fifth. */
	readonly oldWeightsMs: number;
	/** Cost of an endpoint that has asked another VM for a pause, and will probably refuse this VM too: as much as a full queue. */
	readonly pausedForPeersMs: number;
	/** Discount of the first endpoint in rendezvous order, so that VMs choose the same endpoint for a part that none has cached. */
	readonly homeDiscountMs: number;
};

/**
 * The prefill rate is the 54.6 and 63.9 tokens/ms of the engine data sheets minus the decode steps of some tens of running
 * requests. The fetch rate lies below the 350 and 250 tokens/ms that the links of the cache stores carry.
 */
export const defaultPlacementCosts: PlacementCosts = {
	prefillTokensPerMs: 45,
	fetchTokensPerMs: 200,
	activeRequestMs: 3,
	fullQueueMs: 500,
	failureMs: 2000,
	otherDataCentreMs: 4,
	oldWeightsMs: 100,
	pausedForPeersMs: 500,
	homeDiscountMs: 30,
};

/** What the placement of a request depends on. */
export type PlacementRequirements = {
	/** Data centre of this VM. */
	readonly dataCentre: string;
	/** Cacheable parts of the prompt, in order; empty for services without engines. */
	readonly parts: readonly endpointLoads.PromptPart[];
	/** Number of leading parts that other requests share. */
	readonly sharedParts: number;
};

/** An endpoint that may be sent the request. */
export type Candidate = {
	readonly entry: endpointEntry.EndpointEntry;
	readonly hasOldWeights: boolean;
	/** Whether the endpoint has asked another VM for a pause that lasts; `false` by default. */
	readonly isPausedForPeers?: boolean;
	/** Time until requests may no longer start on the endpoint's weights, in milliseconds; `Infinity` for the newest weights. */
	readonly startWithinMs: number;
	/** Cache namespace for the endpoint's weights. */
	readonly cacheNamespace: string;
};

/** What this VM knows about the endpoints, with the costs to choose by. */
export type PlacementView = {
	readonly loads: endpointLoads.EndpointLoads;
	readonly peers: peerLoads.PeerLoads;
	readonly health: endpointHealth.EndpointHealth;
	readonly parts: partLocations.PartLocations;
	readonly homes: homeRanker.HomeRanker;
	readonly costs: PlacementCosts;
};

/** An endpoint with the expected cost of the request there. */
export type EndpointChoice = {
	readonly candidate: Candidate;
	/** Expected time until the first token plus penalties minus discounts, in milliseconds; lower is better. */
	readonly costMs: number;
	/** Time that the endpoint needs for earlier requests before it can begin with this one, in milliseconds. */
	readonly backlogMs: number;
	/** Expected time until the first token, in milliseconds. */
	readonly firstTokenMs: number;
	/** Prompt tokens that the endpoint has to compute. */
	readonly prefillTokens: number;
};

/**
 * Chooses the endpoint with the lowest cost. Endpoints where the request could start too late for their weights are left out.
 *
 * @returns `undefined` without candidates.
 */
export function chooseEndpoint(
	candidates: readonly Candidate[],
	requirements: PlacementRequirements,
	view: PlacementView,
	now: number,
): EndpointChoice | undefined {
	const home = findHome(candidates, requirements, view);
	const prompt = new PromptTokens(requirements, view, now);
	let best: EndpointChoice | undefined;
	for (const candidate of candidates) {
		const choice = estimateCost(candidate, {requirements, prompt, isHome: candidate.entry.id === home}, view, now);
		const isCheaper = best === undefined || choice.costMs < best.costMs;
		if (isCheaper && outdatedWeights.canStartInTime(candidate.startWithinMs, choice.firstTokenMs)) {
			best = choice;
		}
	}

	return best;
}

/**
 * Finds the engine that computes a prefix which none has cached: the same one on all VMs. Prompts that share a long prefix have the
 * same home; those that share only a short one are spread by their first part.
 */
function findHome(candidates: readonly Candidate[], {parts, sharedParts}: PlacementRequirements, view: PlacementView): string | undefined {
	if (sharedParts === 0 || parts[0] === undefined) {
		return undefined;
	}

	const key = sharedPrefix.listSharedPrefixes('', parts, sharedParts).at(-1)?.key ?? sharedPrefix.partKey('', parts[0]);
	return view.homes.select(key, candidates.map(candidate => candidate.entry.id));
}

function estimateCost(
	candidate: Candidate,
	placement: {readonly requirements: PlacementRequirements; readonly prompt: PromptTokens; readonly isHome: boolean},
	view: PlacementView,
	now: number,
): EndpointChoice {
	const {entry} = candidate;
	const {requirements, prompt, isHome} = placement;
	const {costs} = view;
	const tokens = prompt.count(candidate);
	const active = countActive(entry, view, now);
	const backlogMs = computeBacklogMs(entry, active, view, now);
	const firstTokenMs = backlogMs + (tokens.prefill / costs.prefillTokensPerMs) + (tokens.fetch / costs.fetchTokensPerMs);
	const costMs = firstTokenMs
		+ (active * costs.activeRequestMs)
		+ (view.health.failureRate(entry.id) * costs.failureMs)
		+ (entry.dataCentre === requirements.dataCentre ? 0 : costs.otherDataCentreMs)
		+ (candidate.hasOldWeights ? costs.oldWeightsMs : 0)
		+ (candidate.isPausedForPeers ? costs.pausedForPeersMs : 0)
		- (isHome ? costs.homeDiscountMs : 0);
	return {
		candidate, costMs, backlogMs, firstTokenMs, prefillTokens: tokens.prefill,
	};
}

/** Estimates the time that an endpoint needs for earlier requests before it can begin with another one, in milliseconds. */
export function estimateBacklogMs(entry: endpointEntry.EndpointEntry, view: PlacementView, now: number): number {
	return computeBacklogMs(entry, countActive(entry, view, now), view, now);
}

function countActive({id}: endpointEntry.EndpointEntry, {loads, peers}: PlacementView, now: number): number {
	return loads.countActive(id, peers.countActive(id, now), now);
}

function computeBacklogMs({id, slots}: endpointEntry.EndpointEntry, active: number, {loads, peers, costs}: PlacementView, now: number): number {
	const pendingTokens = loads.countPrefillTokens(id) + peers.countPrefillTokens(id, now);
	const queued = Math.max(0, active - slots);
	return (pendingTokens / costs.prefillTokensPerMs) + (queued / Math.max(1, slots) * costs.fullQueueMs);
}

/** What a prompt needs in one cache namespace, whatever the engine. */
type NamespaceTokens = {
	readonly prefixes: readonly sharedPrefix.SharedPrefix[];
	/** Tokens of the longest prefix in the cache store. */
	readonly stored: number;
};

/** Counts the tokens of one prompt at each engine; what doesn't depend on the engine is counted once. */
class PromptTokens {
	readonly #total: number;
	readonly #byNamespace = new Map<string, NamespaceTokens>();

	constructor(
		private readonly requirements: PlacementRequirements,
		private readonly view: PlacementView,
		private readonly now: number,
	) {
		let total = 0;
		for (const part of requirements.parts) {
			total += part.tokens;
		}

		this.#total = total;
	}

	/** Returns the prompt tokens that an engine has to compute, and those that it fetches from the cache store. */
	count({entry, cacheNamespace}: Candidate): {readonly prefill: number; readonly fetch: number} {
		const {prefixes, stored} = this.#tokensIn(cacheNamespace);
		const cached = sharedPrefix.countCachedTokens(prefixes, key => this.view.parts.isCached(key, entry.id, this.now));
		return {prefill: this.#total - Math.max(cached, stored), fetch: Math.max(0, stored - cached)};
	}

	#tokensIn(cacheNamespace: string): NamespaceTokens {
		const known = this.#byNamespace.get(cacheNamespace);
		if (known !== undefined) {
			return known;
		}

		const {parts} = this.view;
		const prefixes = sharedPrefix.listSharedPrefixes(cacheNamespace, this.requirements.parts, this.requirements.sharedParts);
		const stored = parts.isStoreUsable(this.now)
			? sharedPrefix.countCachedTokens(prefixes, key => Number.isFinite(parts.storedAgeMs(key, this.now)))
			: 0;
		const tokens = {prefixes, stored};
		this.#byNamespace.set(cacheNamespace, tokens);
		return tokens;
	}
}

import * as rendezvous from '../util/rendezvous.js';
import type * as endpointEntry from './endpoint-entry.js';
import type * as endpointHealth from './endpoint-health.js';
import type * as endpointLoads from './endpoint-loads.js';
import type * as partLocations from './part-locations.js';
import type * as peerLoads from './peer-loads.js';

/** Costs of a placement, as milliseconds of delay unless named otherwise. */
export type PlacementCosts = {
	/** Prompt tokens that an engine computes in a millisecond, with the steps of running requests between. */
	readonly prefillTokensPerMs: number;
	/** Prompt tokens that an engine fetches from the cache store in a millisecond. */
	readonly fetchTokensPerMs: number;
	/** Cost of each request that is under way in an engine. */
	readonly activeRequestMs: number;
	/** Cost of a queue as long as an endpoint's slots. */
	readonly fullQueueMs: number;
	/** Cost of an endpoint that fails every request. */
	readonly failureMs: number;
	/** Cost of another data centre: the platform prices bytes between them. */
	readonly otherDataCentreMs: number;
	/** Cost of weights older than the newest named ones, which lessen an answer's value by a fifth. */
	readonly oldWeightsMs: number;
	/** Gain of the endpoint that is first in rendezvous order, so that VMs agree on a home for a part that none has. */
	readonly homeDiscountMs: number;
};

/**
 * The prefill rate is the sheets' 54.6 and 63.9 tokens/ms less the steps of some tens of running requests; the fetch rate
 * lies below the 350 and 250 tokens/ms that the cache stores' links carry.
 */
export const defaultPlacementCosts: PlacementCosts = {
	prefillTokensPerMs: 45,
	fetchTokensPerMs: 200,
	activeRequestMs: 3,
	fullQueueMs: 500,
	failureMs: 2000,
	otherDataCentreMs: 4,
	oldWeightsMs: 100,
	homeDiscountMs: 30,
};

/** What a request needs of an endpoint. */
export type PlacementRequirements = {
	/** Data centre of this VM. */
	readonly dataCentre: string;
	/** Cacheable parts of the prompt in order; empty for plain services. */
	readonly parts: readonly endpointLoads.PromptPart[];
	/** Parts at the front of the prompt that other requests share. */
	readonly sharedParts: number;
};

/** An endpoint that may get the request. */
export type Candidate = {
	readonly entry: endpointEntry.EndpointEntry;
	readonly hasOldWeights: boolean;
	/** Namespace of cached state under the endpoint's weights. */
	readonly cacheNamespace: string;
};

/** What a choice rests on. */
export type PlacementView = {
	readonly loads: endpointLoads.EndpointLoads;
	readonly peers: peerLoads.PeerLoads;
	readonly health: endpointHealth.EndpointHealth;
	readonly parts: partLocations.PartLocations;
	readonly costs: PlacementCosts;
};

/** An endpoint with what the request is expected to cost there. */
export type EndpointChoice = {
	readonly candidate: Candidate;
	/** Rank: expected delay until the first token plus penalties, in milliseconds. */
	readonly costMs: number;
	/** Time that the endpoint needs for what it has before it can begin, in milliseconds. */
	readonly backlogMs: number;
	/** Expected time until the first token, in milliseconds. */
	readonly firstTokenMs: number;
	/** Prompt tokens that the endpoint has to compute. */
	readonly prefillTokens: number;
};

/** Key of a prompt part in a cache namespace. */
export function partKey(cacheNamespace: string, part: endpointLoads.PromptPart): string {
	return `${cacheNamespace}/${part.id}`;
}

/** Chooses the endpoint with the least cost. */
export function chooseEndpoint(
	candidates: readonly Candidate[],
	need: PlacementRequirements,
	view: PlacementView,
	now: number,
): EndpointChoice | undefined {
	const home = findHome(candidates, need);
	let best: EndpointChoice | undefined;
	for (const candidate of candidates) {
		const choice = estimateCost(candidate, {need, isHome: candidate.entry.id === home}, view, now);
		if (best === undefined || choice.costMs < best.costMs) {
			best = choice;
		}
	}

	return best;
}

function findHome(candidates: readonly Candidate[], need: PlacementRequirements): string | undefined {
	const first = need.parts[0];
	return first === undefined || need.sharedParts === 0
		? undefined
		: rendezvous.bestByRendezvous(first.id, candidates.map(candidate => candidate.entry.id));
}

function estimateCost(
	candidate: Candidate,
	placement: {readonly need: PlacementRequirements; readonly isHome: boolean},
	view: PlacementView,
	now: number,
): EndpointChoice {
	const {entry} = candidate;
	const {need, isHome} = placement;
	const {costs: terms} = view;
	const tokens = countTokens(candidate, need, view, now);
	const active = view.loads.countActive(entry.id, view.peers.countActive(entry.id, now), now);
	const waitingTokens = view.loads.countPrefillTokens(entry.id) + view.peers.countPrefillTokens(entry.id, now);
	const queued = Math.max(0, active - entry.slots);
	const backlogMs = (waitingTokens / terms.prefillTokensPerMs) + (queued / Math.max(1, entry.slots) * terms.fullQueueMs);
	const firstTokenMs = backlogMs + (tokens.prefill / terms.prefillTokensPerMs) + (tokens.fetch / terms.fetchTokensPerMs);
	const costMs = firstTokenMs
		+ (active * terms.activeRequestMs)
		+ (view.health.failureRate(entry.id) * terms.failureMs)
		+ (entry.dataCentre === need.dataCentre ? 0 : terms.otherDataCentreMs)
		+ (candidate.hasOldWeights ? terms.oldWeightsMs : 0)
		- (isHome ? terms.homeDiscountMs : 0);
	return {
		candidate, costMs, backlogMs, firstTokenMs, prefillTokens: tokens.prefill,
	};
}

/** Counts the tokens to compute and to fetch; a part counts as cached only if all parts before it are. */
function countTokens(
	candidate: Candidate,
	need: PlacementRequirements,
	view: PlacementView,
	now: number,
): {prefill: number; fetch: number} {
	let prefill = 0;
	let fetch = 0;
	let isPresent = true;
	const isStoreUsable = view.parts.isStoreUsable(now);
	for (const [index, part] of need.parts.entries()) {
		const key = partKey(candidate.cacheNamespace, part);
		const isShared = index < need.sharedParts;
		const isCached: boolean = isPresent && view.parts.isCached(key, candidate.entry.id, now);
		const isStored: boolean = isPresent && isShared && isStoreUsable && Number.isFinite(view.parts.storedAgeMs(key, now));
		isPresent = isCached || isStored;
		if (!isPresent) {
			prefill += part.tokens;
		} else if (!isCached) {
			fetch += part.tokens;
		}
	}

	return {prefill, fetch};
}

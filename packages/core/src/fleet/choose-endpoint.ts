import * as rendezvous from '../util/rendezvous.js';
import type * as endpointEntry from './endpoint-entry.js';
import type * as endpointHealth from './endpoint-health.js';
import type * as engineLoad from './engine-load.js';
import type * as peerLoads from './peer-loads.js';
import type * as recentParts from './recent-parts.js';

/** Costs of a placement, as milliseconds of delay unless named otherwise. */
export type PlacementTerms = {
	/** Prompt tokens that an engine computes in a millisecond. */
	readonly prefillTokensPerMs: number;
	/** Prompt tokens that an engine fetches from the cache store in a millisecond. */
	readonly fetchTokensPerMs: number;
	/** Cost of each request that is under way in an engine. */
	readonly activeMs: number;
	/** Cost of a queue as long as an engine's slots. */
	readonly fullQueueMs: number;
	/** Cost of an endpoint that fails every request. */
	readonly failureMs: number;
	/** Cost of another data centre: the platform prices bytes between them. */
	readonly otherDataCentreMs: number;
	/** Cost of weights older than the newest named ones, which halve a fifth of an answer's value. */
	readonly oldWeightsMs: number;
	/** Endpoints, first in rendezvous order, that are taken to hold a prompt's first part without a sign of it. */
	readonly homes: number;
};

/**
 * The prefill and fetch rates lie between those of the two deployments' sheets (54.6 and 63.9 tokens/ms computed, 350
 * and 250 tokens/ms over the cache store's link).
 */
export const defaultPlacementTerms: PlacementTerms = {
	prefillTokensPerMs: 55,
	fetchTokensPerMs: 250,
	activeMs: 6,
	fullQueueMs: 1000,
	failureMs: 2000,
	otherDataCentreMs: 4,
	oldWeightsMs: 100,
	homes: 1,
};

/** What a request needs of an endpoint. */
export type PlacementNeed = {
	/** Data centre of this VM. */
	readonly dataCentre: string;
	/** Cacheable parts of the prompt in order, with the cache namespace in their ids; empty for plain services. */
	readonly parts: readonly engineLoad.PromptPart[];
	/** Parts at the front of the prompt that other requests share. */
	readonly sharedParts: number;
};

/** An endpoint that may get the request. */
export type Candidate = {
	readonly entry: endpointEntry.EndpointEntry;
	readonly hasOldWeights: boolean;
};

/** What a choice rests on. */
export type PlacementView = {
	readonly loads: engineLoad.EndpointLoads;
	readonly peers: peerLoads.PeerLoads;
	readonly health: endpointHealth.EndpointHealth;
	readonly recent: recentParts.RecentParts;
	readonly terms: PlacementTerms;
};

/** An endpoint with what the request is expected to cost there. */
export type Choice = {
	readonly entry: endpointEntry.EndpointEntry;
	/** Expected delay until the first token plus penalties, in milliseconds. */
	readonly costMs: number;
	/** Prompt tokens that the endpoint has to compute. */
	readonly prefillTokens: number;
};

/** Chooses the endpoint with the least cost; ties go to the first in rendezvous order. */
export function chooseEndpoint(
	candidates: readonly Candidate[],
	need: PlacementNeed,
	view: PlacementView,
	now: number,
): Choice | undefined {
	const homes = new Set(rankHomes(candidates, need).slice(0, view.terms.homes));
	let best: Choice | undefined;
	for (const candidate of candidates) {
		const choice = costOf(candidate, {need, isHome: homes.has(candidate.entry.id)}, view, now);
		if (best === undefined || choice.costMs < best.costMs) {
			best = choice;
		}
	}

	return best;
}

function rankHomes(candidates: readonly Candidate[], need: PlacementNeed): string[] {
	const first = need.parts[0];
	return first === undefined || need.sharedParts === 0
		? []
		: rendezvous.rankByRendezvous(first.id, candidates.map(candidate => candidate.entry.id));
}

function costOf(
	candidate: Candidate,
	placement: {readonly need: PlacementNeed; readonly isHome: boolean},
	view: PlacementView,
	now: number,
): Choice {
	const {entry} = candidate;
	const {need} = placement;
	const {terms} = view;
	const tokens = countTokens(entry.id, placement, view, now);
	const active = view.loads.active(entry.id, view.peers.active(entry.id, now), now);
	const waitingTokens = view.loads.prefillTokens(entry.id) + view.peers.prefillTokens(entry.id, now);
	const queued = Math.max(0, active - entry.slots);
	const costMs = (tokens.prefill / terms.prefillTokensPerMs)
		+ (tokens.fetch / terms.fetchTokensPerMs)
		+ (waitingTokens / terms.prefillTokensPerMs)
		+ (active * terms.activeMs)
		+ (queued / Math.max(1, entry.slots) * terms.fullQueueMs)
		+ (view.health.failureRate(entry.id) * terms.failureMs)
		+ (entry.dataCentre === need.dataCentre ? 0 : terms.otherDataCentreMs)
		+ (candidate.hasOldWeights ? terms.oldWeightsMs : 0);
	return {entry, costMs, prefillTokens: tokens.prefill};
}

/** Counts the tokens to compute and to fetch; a part counts as cached only if all parts before it are. */
function countTokens(
	endpoint: string,
	placement: {readonly need: PlacementNeed; readonly isHome: boolean},
	view: PlacementView,
	now: number,
): {prefill: number; fetch: number} {
	let prefill = 0;
	let fetch = 0;
	let isCached = true;
	for (const [index, part] of placement.need.parts.entries()) {
		const isShared = index < placement.need.sharedParts;
		const isAtHome = placement.isHome && isShared;
		isCached &&= (isAtHome || view.recent.has(part.id, endpoint, now));
		if (isCached) {
			continue;
		}

		if (isShared) {
			fetch += part.tokens;
		} else {
			prefill += part.tokens;
		}
	}

	return {prefill, fetch};
}

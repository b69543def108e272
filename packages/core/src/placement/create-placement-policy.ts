import * as boundedRendezvous from './bounded-rendezvous.js';
import * as costBased from './cost-based.js';
import * as homeRanker from './home-ranker.js';
import * as leastLoad from './least-load.js';
import type * as placementPolicy from './placement-policy.js';
import * as rendezvousFirstLevel from './rendezvous-first-level.js';
import * as roundRobin from './round-robin.js';

/** Names of the placement policies in settings. */
export enum PlacementPolicyName {
	RoundRobin = 'round_robin',
	LeastLoad = 'least_load',
	RendezvousFirstLevel = 'rendezvous_first_level',
	BoundedRendezvous = 'bounded_rendezvous',
	CostBased = 'cost_based',
}

/** Options of the placement policies. */
export type PlacementPolicyOptions = {
	/** 32-bit seed; differs between routers. */
	readonly seed: number;
	/** Difference in load per unit of capacity up to which endpoints count as equally loaded. Default 0.05. */
	readonly loadTolerance?: number;
	/** Multiple of the mean load up to which a home endpoint takes requests. Default 1.5. */
	readonly boundFactor?: number;
	/** Cost weights that override `defaultCostWeights`. */
	readonly cost?: Partial<costBased.CostWeights>;
};

/** Cost weights that apply unless a deployment overrides them. */
export const defaultCostWeights: costBased.CostWeights = {
	homeWaste: 0.5,
	strayWaste: 16,
	minHomes: 16,
	occupancyMs: 100,
	doubt: 0.95,
	importMsPerToken: 0,
	toleranceMs: 5,
};

/** Creates the placement policy with the given name. */
export function createPlacementPolicy(
	name: PlacementPolicyName,
	options: PlacementPolicyOptions,
): placementPolicy.PlacementPolicy {
	const tolerance = options.loadTolerance ?? 0.05;
	const fallback = new leastLoad.LeastLoad(options.seed, tolerance);
	const ranker = new homeRanker.HomeRanker();
	switch (name) {
		case PlacementPolicyName.RoundRobin: {
			return new roundRobin.RoundRobin(options.seed);
		}

		case PlacementPolicyName.LeastLoad: {
			return fallback;
		}

		case PlacementPolicyName.RendezvousFirstLevel: {
			return new rendezvousFirstLevel.RendezvousFirstLevel(ranker, fallback);
		}

		case PlacementPolicyName.BoundedRendezvous: {
			return new boundedRendezvous.BoundedRendezvous(ranker, fallback, {
				boundFactor: options.boundFactor ?? 1.5,
				tolerance,
				seed: options.seed,
			});
		}

		case PlacementPolicyName.CostBased: {
			return new costBased.CostBased(ranker, fallback, {...defaultCostWeights, ...options.cost}, options.seed);
		}
	}
}

import * as core from '@bluebellmast/core';

/** What this VM believes of the endpoints; the controllers write it, placement reads it. */
export class FleetState {
	readonly registry = new core.fleet.EndpointRegistry();
	readonly health = new core.fleet.EndpointHealth();
	readonly loads = new core.fleet.EndpointLoads();
	readonly peers = new core.fleet.PeerLoads();
	readonly parts = new core.fleet.PartLocations();
	readonly targets = new core.rollout.WeightTargets();
	/** Plan of the roll-out under way, as last seen in the store. */
	plan: core.rollout.RolloutPlan = core.rollout.emptyRolloutPlan;
	/** VMs that share the load, this one included. */
	vmCount = 1;
}

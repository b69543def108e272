import * as core from '@bluebellmast/core';

/** This VM's view of the endpoints; the controllers and attempts update it, placement reads it. */
export class FleetState {
	readonly registry = new core.fleet.EndpointRegistry();
	readonly health = new core.fleet.EndpointHealth();
	readonly paths = new core.fleet.EndpointPaths();
	readonly peerReach = new core.fleet.PeerReach();
	readonly loads = new core.fleet.EndpointLoads();
	readonly peers = new core.fleet.PeerLoads();
	readonly parts = new core.fleet.PartLocations();
	readonly homes = new core.placement.HomeRanker();
	readonly leaving: core.fleet.LeavingEndpoints;
	readonly limits: core.limits.RequestLimits;
	readonly targets = new core.rollout.WeightTargets();
	/** The roll-out plan, as last read from the store. */
	plan: core.rollout.RolloutPlan = core.rollout.emptyRolloutPlan;
	/** Number of VMs that share the load, including this one. */
	vmCount = 1;

	/** @param vm - Name of this VM. */
	constructor(leavingOptions: Partial<core.fleet.LeavingOptions> = {}, vm = '') {
		this.leaving = new core.fleet.LeavingEndpoints(leavingOptions);
		this.limits = new core.limits.RequestLimits(vm);
	}
}

import type * as deploymentProfile from './deployment-profile.js';

/** Fault that a run injects. */
export enum BenchFault {
	None = 'none',
	EngineCrash = 'engine_crash',
	EventLoss = 'event_loss',
	RouterRestart = 'router_restart',
	HotSpotMove = 'hot_spot_move',
	SlowEngine = 'slow_engine',
	NoLoadReports = 'no_load_reports',
}

/** Name that selects the oracle in place of a policy. */
export const oracleName = 'oracle';

/** Options of a placement run. */
export type PlacementRunOptions = {
	readonly deployment: deploymentProfile.DeploymentProfile;
	/** Name of a policy or `oracle`. */
	readonly policy: string;
	readonly seed: number;
	readonly fault: BenchFault;
	/** Share of the measured capacity; only copied to the result. */
	readonly load: number;
	/** Rate of an open loop; 0 runs a closed loop with one caller per slot. */
	readonly requestsPerSecond: number;
	readonly warmUpMs: number;
	readonly measuredMs: number;
};

import type * as deploymentProfile from './deployment-profile.js';

/** Faults that a run can bring about. */
export enum BenchFault {
	None = 'none',
	EngineCrash = 'engine_crash',
	EventLoss = 'event_loss',
	RouterRestart = 'router_restart',
	HotSpotMove = 'hot_spot_move',
	SlowEngine = 'slow_engine',
	NoLoadReports = 'no_load_reports',
}

/** Name of the bound among the policies. */
export const oracleName = 'oracle';

/** Options of a run. */
export type PlacementRunOptions = {
	readonly deployment: deploymentProfile.DeploymentProfile;
	/** Name of a policy or `oracle`. */
	readonly policy: string;
	readonly seed: number;
	readonly fault: BenchFault;
	/** Share of the capacity, for the record. */
	readonly load: number;
	/** Open loop at this rate; 0: closed loop with all slots taken. */
	readonly requestsPerSecond: number;
	readonly warmUpMs: number;
	readonly measuredMs: number;
};

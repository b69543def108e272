/** Conditions that decide whether a router accepts requests. */
export type ReadinessConditions = {
	/** Whether all components of the router have started. */
	readonly started: boolean;
	/** Whether a manifest is active and the load of each of its endpoints was requested at least once. */
	readonly hasLoads: boolean;
	/** Whether a graceful shutdown has begun. */
	readonly stopping: boolean;
};

/** Readiness of a router to accept requests. */
export enum Readiness {
	/** Waiting for a manifest from a peer or the key-value service, and for the first load reports. */
	Starting = 'starting',
	Serving = 'serving',
	Stopping = 'stopping',
}

/** Decides whether a router accepts requests: only with an active manifest and each endpoint's load requested once. */
export function decideReadiness(conditions: ReadinessConditions): Readiness {
	if (conditions.stopping) {
		return Readiness.Stopping;
	}

	return conditions.started && conditions.hasLoads ? Readiness.Serving : Readiness.Starting;
}

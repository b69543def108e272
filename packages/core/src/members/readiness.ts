/** What decides whether a router takes requests. */
export type ReadinessConditions = {
	/** Whether all parts of the router were started. */
	readonly started: boolean;
	/** Whether each endpoint of a manifest in force was asked for its load at least once. */
	readonly hasLoads: boolean;
	/** Whether a planned stop has begun. */
	readonly stopping: boolean;
};

/** Whether a router takes requests. */
export enum Readiness {
	/** Waits for a manifest from a peer or the key-value service, and for first load reports. */
	Starting = 'starting',
	Serving = 'serving',
	Stopping = 'stopping',
}

/** Decides whether a router takes requests: it serves only with a manifest whose endpoints it has asked once. */
export function decideReadiness(conditions: ReadinessConditions): Readiness {
	if (conditions.stopping) {
		return Readiness.Stopping;
	}

	return conditions.started && conditions.hasLoads ? Readiness.Serving : Readiness.Starting;
}

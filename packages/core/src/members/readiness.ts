/** What a starting router has. */
export type ReadinessFacts = {
	/** Whether a manifest is in force here. */
	readonly hasManifest: boolean;
	/** Whether a planned stop has begun. */
	readonly stopping: boolean;
};

/** Whether a router takes requests. */
export enum Readiness {
	/** Waits for a manifest from a peer or the key-value service. */
	Starting = 'starting',
	Serving = 'serving',
	Stopping = 'stopping',
}

/** Decides whether a router takes requests: it serves only with a manifest, and needs nothing else. */
export function decideReadiness(facts: ReadinessFacts): Readiness {
	if (facts.stopping) {
		return Readiness.Stopping;
	}

	return facts.hasManifest ? Readiness.Serving : Readiness.Starting;
}

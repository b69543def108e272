/** A request that arrived at an endpoint. */
export type Arrival = {
	readonly endpoint: string;
	/** Milliseconds since the Unix epoch. */
	readonly at: number;
	readonly request: string;
};

/** A time over which an endpoint said that it was going away. */
export type LeaveRecord = {
	readonly endpoint: string;
	/** Milliseconds since the Unix epoch. */
	readonly from: number;
	readonly to: number;
};

/** Milliseconds after which a leaving endpoint gets no new work. */
const leaveGraceMs = 3000;

/** Checks that no work arrived at endpoints that had been leaving for a while; returns the findings. */
export function checkLeaving(arrivals: readonly Arrival[], leaves: readonly LeaveRecord[]): string[] {
	return leaves.flatMap(leave => arrivals
		.filter(({endpoint, at}) => endpoint === leave.endpoint && at > leave.from + leaveGraceMs && at < leave.to)
		.map(({request, at}) => `${request} arrived at ${leave.endpoint} ${at - leave.from} ms after it said that it is leaving`));
}

/** A request that arrived at an endpoint. */
export type Arrival = {
	readonly endpoint: string;
	/** Milliseconds since the Unix epoch. */
	readonly at: number;
	readonly request: string;
};

/** A period in which an endpoint reported that it was leaving. */
export type LeaveRecord = {
	readonly endpoint: string;
	/** Milliseconds since the Unix epoch. */
	readonly from: number;
	readonly to: number;
};

/** Milliseconds after its first such report during which a leaving endpoint may still receive requests. */
const leaveGraceMs = 3000;

/** Checks that leaving endpoints received no requests after the grace period; returns the findings. */
export function checkLeaving(arrivals: readonly Arrival[], leaves: readonly LeaveRecord[]): string[] {
	return leaves.flatMap(leave => arrivals
		.filter(({endpoint, at}) => endpoint === leave.endpoint && at > leave.from + leaveGraceMs && at < leave.to)
		.map(({request, at}) => `${request} arrived at ${leave.endpoint} ${at - leave.from} ms after it reported that it was leaving`));
}

/** A request that arrived at an endpoint. */
export type Arrival = {
	readonly endpoint: string;
	/** Milliseconds since the Unix epoch. */
	readonly at: number;
	readonly request: string;
};

/** A period in which an endpoint reported that it was leaving. */
export type LeavePeriod = {
	readonly endpoint: string;
	/** Milliseconds since the Unix epoch. */
	readonly from: number;
	readonly to: number;
};

/** Milliseconds after its first such report during which a leaving endpoint may still receive requests. */
const leaveGraceMs = 3000;

/** Checks that leaving endpoints received no requests after the grace period; returns the findings. */
export function checkLeaving(arrivals: readonly Arrival[], leavePeriods: readonly LeavePeriod[]): string[] {
	return leavePeriods.flatMap(period => arrivals
		.filter(({endpoint, at}) => endpoint === period.endpoint && at > period.from + leaveGraceMs && at < period.to)
		.map(({request, at}) => `${request} arrived at ${period.endpoint} ${at - period.from} ms after it reported that it was leaving`));
}

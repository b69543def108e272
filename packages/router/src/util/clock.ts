/** Source of the present time; the one place that the deciding code gets it from. */
export type Clock = {
	/** Milliseconds since the Unix epoch. */
	now(): number;
};

/** Reads the clock of the machine. */
export class SystemClock implements Clock {
	now(): number {
		return Date.now();
	}
}

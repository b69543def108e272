/** Source of the current time. All decisions use it, so that tests can set the time. */
export type Clock = {
	/** Milliseconds since the Unix epoch. */
	now(): number;
};

/** The system clock. */
export class SystemClock implements Clock {
	now(): number {
		return Date.now();
	}
}

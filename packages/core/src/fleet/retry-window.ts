/** Bounds of repeated sends, which hold over all VMs together. */
export type RetryWindowLimits = {
	/** Repeats that are allowed for each request, in the window. */
	readonly ratio: number;
	/** Repeats that are allowed besides, in the window, over all VMs. */
	readonly slack: number;
	readonly windowMs: number;
};

/** Part of the platform's bounds that is used: the VMs don't count with one another. */
const usableShare = 0.8;

type HalfWindow = {
	/** Number of the half window, counted from time 0. */
	readonly index: number;
	requests: number;
	retries: number;
};

/** Counts requests and repeats to one pool in half windows, and decides whether one more repeat stays in the bounds. */
export class RetryWindow {
	#halfWindows: HalfWindow[] = [];

	constructor(private readonly terms: RetryWindowLimits) {}

	/** Counts a request from a caller. */
	countRequest(now: number): void {
		this.#currentHalfWindow(now).requests += 1;
	}

	/** Counts a send beyond the first of a request. */
	countRetry(now: number): void {
		this.#currentHalfWindow(now).retries += 1;
	}

	/**
	 * Whether one more repeat is within this VM's part of the bounds.
	 *
	 * @param vms - VMs that share the slack.
	 */
	allowsRetry(vms: number, now: number): boolean {
		this.#currentHalfWindow(now);
		let requests = 0;
		let repeats = 0;
		for (const span of this.#halfWindows) {
			requests += span.requests;
			repeats += span.retries;
		}

		// The spans kept cover up to one and a half windows, so the count of repeats errs to the safe side.
		const fromRequests = this.terms.ratio * requests * 2 / 3;
		const allowed = usableShare * (fromRequests + (this.terms.slack / Math.max(1, vms)));
		return repeats + 1 <= allowed;
	}

	#currentHalfWindow(now: number): HalfWindow {
		const index = Math.floor(now / (this.terms.windowMs / 2));
		const last = this.#halfWindows.at(-1);
		if (last?.index === index) {
			return last;
		}

		this.#halfWindows = this.#halfWindows.filter(span => span.index >= index - 2);
		const span: HalfWindow = {index, requests: 0, retries: 0};
		this.#halfWindows.push(span);
		return span;
	}
}

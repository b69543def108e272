/** Limits on retries that hold over all VMs together. */
export type RetryWindowLimits = {
	/** Retries allowed per request in the window. */
	readonly ratio: number;
	/** Additional retries allowed in the window, over all VMs together. */
	readonly slack: number;
	readonly windowMs: number;
};

/** Part of the platform's limits that is used; a margin is needed because each VM counts only its own requests and retries. */
const usableShare = 0.8;

/** Number of half windows before the current one that count. */
const keptHalfWindows = 2;

type HalfWindow = {
	/** Index of the half window, counted from time 0. */
	readonly index: number;
	requests: number;
	retries: number;
};

/** Counts requests and retries to one pool in half windows, and decides whether another retry is within the limits. */
export class RetryWindow {
	#halfWindows: HalfWindow[] = [];

	constructor(private readonly limits: RetryWindowLimits) {}

	/** Counts a request of a caller. */
	countRequest(now: number): void {
		this.#currentHalfWindow(now).requests += 1;
	}

	/**
	 * Counts a retry: an attempt of a request after its first.
	 *
	 * @returns Function that undoes the count, for a retry that is not sent.
	 */
	countRetry(now: number): () => void {
		const halfWindow = this.#currentHalfWindow(now);
		halfWindow.retries += 1;
		return () => {
			halfWindow.retries -= 1;
		};
	}

	/**
	 * Returns whether another retry is within this VM's part of the limits.
	 *
	 * @param vms - Number of VMs that share the slack.
	 */
	allowsRetry(vms: number, now: number): boolean {
		this.#currentHalfWindow(now);
		let requests = 0;
		let retries = 0;
		for (const halfWindow of this.#halfWindows) {
			requests += halfWindow.requests;
			retries += halfWindow.retries;
		}

		// The half windows that are kept cover up to one and a half windows. Requests are scaled down to one window, retries are not,
		// so fewer retries are allowed rather than too many.
		const requestBudget = this.limits.ratio * requests * 2 / 3;
		const allowed = usableShare * (requestBudget + (this.limits.slack / Math.max(1, vms)));
		return retries + 1 <= allowed;
	}

	/** Returns whether nothing counts any more, so that the window is as good as a new one. */
	isIdle(now: number): boolean {
		const index = this.#indexOf(now);
		return this.#halfWindows.every(halfWindow => halfWindow.index < index - keptHalfWindows);
	}

	#indexOf(now: number): number {
		return Math.floor(now / (this.limits.windowMs / 2));
	}

	#currentHalfWindow(now: number): HalfWindow {
		const index = this.#indexOf(now);
		const last = this.#halfWindows.at(-1);
		if (last?.index === index) {
			return last;
		}

		this.#halfWindows = this.#halfWindows.filter(halfWindow => halfWindow.index >= index - keptHalfWindows);
		const halfWindow: HalfWindow = {index, requests: 0, retries: 0};
		this.#halfWindows.push(halfWindow);
		return halfWindow;
	}
}

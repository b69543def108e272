/** Bounds of repeated sends, which hold over all VMs together. */
export type RetryWindowTerms = {
	/** Repeats that are allowed for each request, in the window. */
	readonly ratio: number;
	/** Repeats that are allowed besides, in the window, over all VMs. */
	readonly slack: number;
	readonly windowMs: number;
};

/** Part of the platform's bounds that is used: the VMs don't count with one another. */
const usedShare = 0.8;

type Span = {
	/** Number of the half window, counted from time 0. */
	readonly index: number;
	requests: number;
	repeats: number;
};

/** Counts requests and repeats to one pool in half windows, and decides whether one more repeat stays in the bounds. */
export class RetryWindow {
	#spans: Span[] = [];

	constructor(private readonly terms: RetryWindowTerms) {}

	/** Counts a request from a caller. */
	countRequest(now: number): void {
		this.#span(now).requests += 1;
	}

	/** Counts a send beyond the first of a request. */
	countRepeat(now: number): void {
		this.#span(now).repeats += 1;
	}

	/**
	 * Whether one more repeat is within this VM's part of the bounds.
	 *
	 * @param vms - VMs that share the slack.
	 */
	allows(vms: number, now: number): boolean {
		this.#span(now);
		let requests = 0;
		let repeats = 0;
		for (const span of this.#spans) {
			requests += span.requests;
			repeats += span.repeats;
		}

		// The spans kept cover up to one and a half windows, so the count of repeats errs to the safe side.
		const fromRequests = this.terms.ratio * requests * 2 / 3;
		const allowed = usedShare * (fromRequests + (this.terms.slack / Math.max(1, vms)));
		return repeats + 1 <= allowed;
	}

	#span(now: number): Span {
		const index = Math.floor(now / (this.terms.windowMs / 2));
		const last = this.#spans.at(-1);
		if (last?.index === index) {
			return last;
		}

		this.#spans = this.#spans.filter(span => span.index >= index - 2);
		const span: Span = {index, requests: 0, repeats: 0};
		this.#spans.push(span);
		return span;
	}
}

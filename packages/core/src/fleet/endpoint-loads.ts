/** A prompt part that engines cache. */
export type PromptPart = {
	/** Identifier of the text. */
	readonly id: string;
	readonly tokens: number;
};

/** Load that an endpoint reported in a response. */
export type ReportedLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
};

/** A request of this VM that is in flight at an endpoint. */
type OwnRequest = {
	/** Prompt tokens that the endpoint has to compute before the first token. */
	readonly prefillTokens: number;
	isPrefillDone: boolean;
};

type Load = {
	readonly ownRequests: Map<string, OwnRequest>;
	reported?: ReportedLoad;
	reportedAt: number;
	/** Number of this VM's requests in flight at the time of the report. */
	ownCountAtReport: number;
};

/** Age after which a reported load is ignored, in milliseconds: about the duration of a typical request. */
const reportLifetimeMs = 1000;

/** Load of each endpoint: its last reported load, corrected by the requests that this VM sent and finished since. */
export class EndpointLoads {
	readonly #loads = new Map<string, Load>();
	#sentCount = 0;

	/** Number of requests that were sent so far; while it stays the same, nothing has used the capacity that was seen. */
	get sentCount(): number {
		return this.#sentCount;
	}

	/** Records a request that is sent. */
	addRequest(endpoint: string, attempt: string, prefillTokens: number): void {
		this.#sentCount += 1;
		this.#getOrCreateLoad(endpoint).ownRequests.set(attempt, {prefillTokens, isPrefillDone: false});
	}

	/** Records the first event of a response, which ends the prefill of the request. */
	endPrefill(endpoint: string, attempt: string): void {
		const request = this.#loads.get(endpoint)?.ownRequests.get(attempt);
		if (request !== undefined) {
			request.isPrefillDone = true;
		}
	}

	/** Records the end of a request. */
	removeRequest(endpoint: string, attempt: string): void {
		this.#loads.get(endpoint)?.ownRequests.delete(attempt);
	}

	/** Sets the load that an endpoint reported in a response. */
	setReportedLoad(endpoint: string, reported: ReportedLoad, now: number): void {
		const load = this.#getOrCreateLoad(endpoint);
		load.reported = reported;
		load.reportedAt = now;
		load.ownCountAtReport = load.ownRequests.size;
	}

	/**
	 * Returns the estimated number of requests in flight at an endpoint, from all callers.
	 *
	 * @param others - Requests in flight according to the digests of other VMs.
	 */
	countActive(endpoint: string, others: number, now: number): number {
		const load = this.#loads.get(endpoint);
		if (load === undefined) {
			return others;
		}

		const known = load.ownRequests.size + others;
		if (load.reported === undefined || now - load.reportedAt > reportLifetimeMs) {
			return known;
		}

		const sinceReport = load.ownRequests.size - load.ownCountAtReport;
		return Math.max(known, load.reported.running + load.reported.waiting + sinceReport);
	}

	/** Returns the endpoints at which this VM has requests in flight. */
	listBusyEndpoints(): string[] {
		return [...this.#loads].filter(([, load]) => load.ownRequests.size > 0).map(([endpoint]) => endpoint);
	}

	/** Returns the prompt tokens of this VM's requests that an endpoint still has to compute. */
	countPrefillTokens(endpoint: string): number {
		let tokens = 0;
		for (const request of this.#loads.get(endpoint)?.ownRequests.values() ?? []) {
			tokens += request.isPrefillDone ? 0 : request.prefillTokens;
		}

		return tokens;
	}

	/** Returns the number of this VM's requests in flight at an endpoint. */
	countOwnActive(endpoint: string): number {
		return this.#loads.get(endpoint)?.ownRequests.size ?? 0;
	}

	/** Removes endpoints that are no longer listed and have no requests in flight. */
	retain(listed: ReadonlySet<string>): void {
		for (const [endpoint, load] of this.#loads) {
			if (!listed.has(endpoint) && load.ownRequests.size === 0) {
				this.#loads.delete(endpoint);
			}
		}
	}

	#getOrCreateLoad(endpoint: string): Load {
		const known = this.#loads.get(endpoint);
		if (known !== undefined) {
			return known;
		}

		const load: Load = {ownRequests: new Map(), reportedAt: -Infinity, ownCountAtReport: 0};
		this.#loads.set(endpoint, load);
		return load;
	}
}

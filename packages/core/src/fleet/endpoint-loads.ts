/** A prompt part that engines cache: its identity and size. */
export type PromptPart = {
	/** Identity of the text of this part. */
	readonly id: string;
	readonly tokens: number;
};

/** Load that an endpoint told in an answer. */
export type ReportedLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
};

/** A request of this VM that is under way at an endpoint. */
type OwnRequest = {
	/** Prompt tokens that the endpoint has to compute before the first token. */
	readonly prefillTokens: number;
	isPrefillDone: boolean;
};

type Load = {
	readonly ownRequests: Map<string, OwnRequest>;
	reported?: ReportedLoad;
	reportedAt: number;
	/** Requests of this VM that were under way at the time of the report. */
	ownCountAtReport: number;
};

/** Age after which a reported load says nothing any more, in milliseconds: about the time of a typical request. */
const reportLifetimeMs = 1000;

/** Load of each endpoint: what it told last, corrected by what this VM sent and finished since. */
export class EndpointLoads {
	readonly #loads = new Map<string, Load>();

	/** Notes a request that is sent. */
	addRequest(endpoint: string, attempt: string, prefillTokens: number): void {
		this.#getOrCreateLoad(endpoint).ownRequests.set(attempt, {prefillTokens, isPrefillDone: false});
	}

	/** Notes the first event of a request, which ends its prefill. */
	endPrefill(endpoint: string, attempt: string): void {
		const request = this.#loads.get(endpoint)?.ownRequests.get(attempt);
		if (request !== undefined) {
			request.isPrefillDone = true;
		}
	}

	/** Notes the end of a request. */
	removeRequest(endpoint: string, attempt: string): void {
		this.#loads.get(endpoint)?.ownRequests.delete(attempt);
	}

	/** Takes the load that an answer told. */
	setReportedLoad(endpoint: string, reported: ReportedLoad, now: number): void {
		const load = this.#getOrCreateLoad(endpoint);
		load.reported = reported;
		load.reportedAt = now;
		load.ownCountAtReport = load.ownRequests.size;
	}

	/**
	 * Requests under way at an endpoint, of all callers, as far as is known.
	 *
	 * @param others - Requests that other VMs told of.
	 */
	countActive(endpoint: string, others: number, now: number): number {
		const load = this.#loads.get(endpoint);
		if (load === undefined) {
			return others;
		}

		const told = load.ownRequests.size + others;
		if (load.reported === undefined || now - load.reportedAt > reportLifetimeMs) {
			return told;
		}

		const sinceReport = load.ownRequests.size - load.ownCountAtReport;
		return Math.max(told, load.reported.running + load.reported.waiting + sinceReport);
	}

	/** Endpoints at which this VM has requests under way. */
	listBusyEndpoints(): string[] {
		return [...this.#loads].filter(([, load]) => load.ownRequests.size > 0).map(([endpoint]) => endpoint);
	}

	/** Prompt tokens of this VM's requests that an endpoint has still to compute. */
	countPrefillTokens(endpoint: string): number {
		let tokens = 0;
		for (const request of this.#loads.get(endpoint)?.ownRequests.values() ?? []) {
			tokens += request.isPrefillDone ? 0 : request.prefillTokens;
		}

		return tokens;
	}

	/** Requests of this VM under way at an endpoint. */
	countOwnActive(endpoint: string): number {
		return this.#loads.get(endpoint)?.ownRequests.size ?? 0;
	}

	/** Forgets endpoints that are no longer listed and have nothing under way. */
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

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
	hasStarted: boolean;
};

type Load = {
	readonly own: Map<string, OwnRequest>;
	reported?: ReportedLoad;
	reportedAt: number;
	/** Requests of this VM that were under way at the time of the report. */
	ownAtReport: number;
};

/** Age after which a reported load says nothing any more, in milliseconds: about the time of a typical request. */
const reportLifetimeMs = 1000;

/** Load of each endpoint: what it told last, corrected by what this VM sent and finished since. */
export class EndpointLoads {
	readonly #loads = new Map<string, Load>();

	/** Notes a request that is sent. */
	begin(endpoint: string, attempt: string, prefillTokens: number): void {
		this.#load(endpoint).own.set(attempt, {prefillTokens, hasStarted: false});
	}

	/** Notes the first event of a request, which ends its prefill. */
	start(endpoint: string, attempt: string): void {
		const request = this.#loads.get(endpoint)?.own.get(attempt);
		if (request !== undefined) {
			request.hasStarted = true;
		}
	}

	/** Notes the end of a request. */
	end(endpoint: string, attempt: string): void {
		this.#loads.get(endpoint)?.own.delete(attempt);
	}

	/** Takes the load that an answer told. */
	report(endpoint: string, reported: ReportedLoad, now: number): void {
		const load = this.#load(endpoint);
		load.reported = reported;
		load.reportedAt = now;
		load.ownAtReport = load.own.size;
	}

	/**
	 * Requests under way at an endpoint, of all callers, as far as is known.
	 *
	 * @param others - Requests that other VMs told of.
	 */
	active(endpoint: string, others: number, now: number): number {
		const load = this.#loads.get(endpoint);
		if (load === undefined) {
			return others;
		}

		const told = load.own.size + others;
		if (load.reported === undefined || now - load.reportedAt > reportLifetimeMs) {
			return told;
		}

		const sinceReport = load.own.size - load.ownAtReport;
		return Math.max(told, load.reported.running + load.reported.waiting + sinceReport);
	}

	/** Endpoints at which this VM has requests under way. */
	busyEndpoints(): string[] {
		return [...this.#loads].filter(([, load]) => load.own.size > 0).map(([endpoint]) => endpoint);
	}

	/** Prompt tokens of this VM's requests that an endpoint has still to compute. */
	prefillTokens(endpoint: string): number {
		let tokens = 0;
		for (const request of this.#loads.get(endpoint)?.own.values() ?? []) {
			tokens += request.hasStarted ? 0 : request.prefillTokens;
		}

		return tokens;
	}

	/** Requests of this VM under way at an endpoint. */
	ownActive(endpoint: string): number {
		return this.#loads.get(endpoint)?.own.size ?? 0;
	}

	/** Forgets endpoints that are no longer listed and have nothing under way. */
	retain(listed: ReadonlySet<string>): void {
		for (const [endpoint, load] of this.#loads) {
			if (!listed.has(endpoint) && load.own.size === 0) {
				this.#loads.delete(endpoint);
			}
		}
	}

	#load(endpoint: string): Load {
		const known = this.#loads.get(endpoint);
		if (known !== undefined) {
			return known;
		}

		const load: Load = {own: new Map(), reportedAt: -Infinity, ownAtReport: 0};
		this.#loads.set(endpoint, load);
		return load;
	}
}

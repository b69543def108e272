import type * as endpointModel from '../model/endpoint.js';
import type * as ids from '../model/ids.js';
import * as endpointLoad from './endpoint-load.js';

/** Options of the load view. */
export type LoadViewOptions = Partial<endpointLoad.LoadOptions> & {
	/** Prompt tokens a millisecond of an endpoint at its best. Default 10. */
	readonly prefillTokensPerMs?: number;
	/** Milliseconds that a request holds a slot before any were measured. Default 1000. */
	readonly slotHoldMs?: number;
};

/** One own request in flight. */
type Attempt = {
	readonly endpoint: endpointLoad.EndpointLoad;
	readonly dispatchedAt: number;
	readonly missingTokens: number;
	readonly queueMs: number;
	firstTokenAt: number | undefined;
};

const defaultPrefillTokensPerMs = 10;
const slotHoldSmoothing = 0.05;
const prefillRiseSmoothing = 0.2;
const prefillFallSmoothing = 0.005;
const minMeasuredTokens = 1000;

/** Loads of all endpoints as one router sees them: lagging reports, own dispatches since, and measured speeds. */
export class LoadView {
	readonly pool: endpointLoad.PoolEstimates;
	readonly #maxPrefillTokensPerMs: number;
	readonly #endpoints = new Map<ids.EndpointId, endpointLoad.EndpointLoad>();
	readonly #attempts = new Map<ids.AttemptId, Attempt>();
	#byService = new Map<ids.ServiceId, readonly endpointLoad.EndpointLoad[]>();

	constructor(options: LoadViewOptions = {}) {
		this.#maxPrefillTokensPerMs = options.prefillTokensPerMs ?? defaultPrefillTokensPerMs;
		this.pool = {
			now: 0,
			routers: 1,
			prefillTokensPerMs: this.#maxPrefillTokensPerMs,
			slotHoldMs: options.slotHoldMs ?? 1000,
			tokenMs: 0,
			options: {
				reportLagMs: options.reportLagMs ?? 300,
				staleReportMs: options.staleReportMs ?? 3000,
				peerFactor: options.peerFactor ?? 0.5,
				slowRatio: options.slowRatio ?? 2.5,
				slownessHalfLifeMs: options.slownessHalfLifeMs ?? 20_000,
			},
		};
	}

	/** Number of own requests in flight. */
	get inFlight(): number {
		return this.#attempts.size;
	}

	/** Moves the present time; estimates are made for it. */
	advanceTo(now: number): void {
		this.pool.now = Math.max(now, this.pool.now);
	}

	/** Sets the number of live routers, this one included. */
	setRouters(routers: number): void {
		this.pool.routers = Math.max(1, routers);
	}

	/** Takes the endpoints of a manifest; what is known of those that stay is kept. */
	setEndpoints(descriptions: readonly endpointModel.Endpoint[]): void {
		const names = new Set(descriptions.map(description => description.id));
		for (const name of this.#endpoints.keys()) {
			if (!names.has(name)) {
				this.#endpoints.delete(name);
			}
		}

		for (const description of descriptions) {
			this.#setEndpoint(description);
		}

		this.#byService = new Map();
		for (const endpoint of this.#endpoints.values()) {
			this.#byService.set(endpoint.service, [...(this.#byService.get(endpoint.service) ?? []), endpoint]);
		}
	}

	/** Returns the endpoints of a service. */
	listEndpoints(service: ids.ServiceId): readonly endpointLoad.EndpointLoad[] {
		return this.#byService.get(service) ?? [];
	}

	/** Returns one endpoint. */
	find(endpoint: ids.EndpointId): endpointLoad.EndpointLoad | undefined {
		return this.#endpoints.get(endpoint);
	}

	/** Takes a load report. */
	applyReport(endpoint: ids.EndpointId, report: endpointLoad.ReceivedLoad, now: number): void {
		this.advanceTo(now);
		this.#endpoints.get(endpoint)?.applyReport(report);
	}

	/**
	 * Counts an own dispatch.
	 *
	 * @param missingTokens - Prompt tokens that the endpoint is expected to compute.
	 */
	recordDispatch(attempt: ids.AttemptId, endpointId: ids.EndpointId, missingTokens: number, now: number): void {
		this.advanceTo(now);
		const endpoint = this.#endpoints.get(endpointId);
		if (endpoint === undefined || this.#attempts.has(attempt)) {
			return;
		}

		this.#attempts.set(attempt, {
			endpoint, dispatchedAt: now, missingTokens, queueMs: endpoint.queueMs, firstTokenAt: undefined,
		});
		endpoint.addOwnChange(1, missingTokens);
	}

	/** Counts a change of the requests in flight of another router, and of their prompt tokens not computed yet. */
	applyPeerChange(endpoint: ids.EndpointId, requests: number, tokens: number, now: number): void {
		this.advanceTo(now);
		this.#endpoints.get(endpoint)?.addPeerChange(requests, tokens);
	}

	/** Counts the first token of an own request: its prompt is computed. */
	recordFirstToken(attemptId: ids.AttemptId, now: number): void {
		this.advanceTo(now);
		const attempt = this.#attempts.get(attemptId);
		if (attempt === undefined || attempt.firstTokenAt !== undefined) {
			return;
		}

		attempt.firstTokenAt = now;
		attempt.endpoint.addOwnChange(0, -attempt.missingTokens);
		this.#measurePrefill(attempt, now - attempt.dispatchedAt);
	}

	/**
	 * Counts the end of an own request, whatever its outcome.
	 *
	 * @param tokens - Generated tokens; 0 when it failed or the endpoint is a plain service.
	 */
	recordEnd(attemptId: ids.AttemptId, tokens: number, now: number): void {
		this.advanceTo(now);
		const attempt = this.#attempts.get(attemptId);
		if (attempt === undefined) {
			return;
		}

		this.#attempts.delete(attemptId);
		attempt.endpoint.addOwnChange(-1, attempt.firstTokenAt === undefined ? -attempt.missingTokens : 0);
		if (attempt.firstTokenAt !== undefined && tokens > 1) {
			this.#measureDecode(attempt, tokens, now);
		}
	}

	#setEndpoint(description: endpointModel.Endpoint): void {
		const known = this.#endpoints.get(description.id);
		if (known?.service === description.service && known.dataCentre === description.dataCentre) {
			known.setDescription(description);
			return;
		}

		this.#endpoints.set(description.id, new endpointLoad.EndpointLoad(description, this.pool));
	}

	#measurePrefill(attempt: Attempt, firstTokenMs: number): void {
		const isMeasurable = attempt.missingTokens >= minMeasuredTokens && attempt.queueMs < firstTokenMs / 4;
		if (isMeasurable && attempt.endpoint.slowness === 1) {
			// A queue that this router does not see makes the rate look low, and a hit that it did not expect makes it look high.
			const measured = attempt.missingTokens / Math.max(1, firstTokenMs - attempt.queueMs);
			const rate = Math.min(measured, this.#maxPrefillTokensPerMs);
			const part = rate > this.pool.prefillTokensPerMs ? prefillRiseSmoothing : prefillFallSmoothing;
			this.pool.prefillTokensPerMs += (rate - this.pool.prefillTokensPerMs) * part;
		}
	}

	#measureDecode(attempt: Attempt, tokens: number, now: number): void {
		attempt.endpoint.addTokenMsSample((now - attempt.firstTokenAt!) / (tokens - 1));
		const holdMs = Math.max(1, now - attempt.dispatchedAt - attempt.queueMs);
		this.pool.slotHoldMs += (holdMs - this.pool.slotHoldMs) * slotHoldSmoothing;
		const measured = this.listEndpoints(attempt.endpoint.service)
			.map(endpoint => endpoint.tokenMs)
			.filter(tokenMs => tokenMs !== undefined)
			.sort((left, right) => left - right);
		this.pool.tokenMs = measured[Math.floor(measured.length / 2)] ?? 0;
	}
}

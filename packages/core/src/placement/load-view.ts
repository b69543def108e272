import type * as endpointModel from '../model/endpoint.js';
import type * as ids from '../model/ids.js';
import * as endpointLoad from './endpoint-load.js';

/** Options of the load view. */
export type LoadViewOptions = Partial<endpointLoad.LoadOptions> & {
	/** Upper bound and initial value of the estimated prompt tokens that an endpoint computes per millisecond. Default 10. */
	readonly prefillTokensPerMs?: number;
	/** Initial estimate of the time that a request occupies a slot, in milliseconds. Default 1000. */
	readonly slotHoldMs?: number;
};

/** A dispatch of a request by this router that has not ended. */
type Attempt = {
	readonly endpoint: endpointLoad.EndpointLoad;
	readonly dispatchedAt: number;
	/** Prompt tokens that were not expected in the endpoint's prefix cache. */
	readonly uncachedTokens: number;
	/** Estimated queueing time at the endpoint at the dispatch. */
	readonly queueMs: number;
	firstTokenAt: number | undefined;
};

const defaultPrefillTokensPerMs = 10;
// Weights of a new sample in the moving averages; `#measurePrefill` says how samples of the prefill rate err.
const slotHoldSmoothing = 0.05;
const prefillRiseSmoothing = 0.2;
const prefillFallSmoothing = 0.005;
const minMeasuredTokens = 1000;

/** Loads of all endpoints as one router sees them: delayed reports, dispatches since, and measured speeds. */
export class LoadView {
	readonly estimates: endpointLoad.SharedEstimates;
	readonly #maxPrefillTokensPerMs: number;
	readonly #endpoints = new Map<ids.EndpointId, endpointLoad.EndpointLoad>();
	readonly #attempts = new Map<ids.AttemptId, Attempt>();
	#byService = new Map<ids.ServiceId, readonly endpointLoad.EndpointLoad[]>();

	constructor(options: LoadViewOptions = {}) {
		this.#maxPrefillTokensPerMs = options.prefillTokensPerMs ?? defaultPrefillTokensPerMs;
		this.estimates = {
			now: 0,
			routers: 1,
			prefillTokensPerMs: this.#maxPrefillTokensPerMs,
			slotHoldMs: options.slotHoldMs ?? 1000,
			tokenMsByService: new Map(),
			options: {
				reportLagMs: options.reportLagMs ?? 300,
				staleReportMs: options.staleReportMs ?? 3000,
				peerFactor: options.peerFactor ?? 0.5,
				slowRatio: options.slowRatio ?? 2.5,
				slownessHalfLifeMs: options.slownessHalfLifeMs ?? 20_000,
			},
		};
	}

	/** Number of this router's dispatches that have not ended. */
	get inFlight(): number {
		return this.#attempts.size;
	}

	/** Advances the current time, for which loads are estimated; it never goes back. */
	advanceTo(now: number): void {
		this.estimates.now = Math.max(now, this.estimates.now);
	}

	/** Sets the number of live routers, including this one. */
	setRouters(routers: number): void {
		this.estimates.routers = Math.max(1, routers);
	}

	/** Replaces the endpoints by those of a manifest; keeps the state of endpoints that remain. */
	setEndpoints(descriptions: readonly endpointModel.Endpoint[]): void {
		const endpointIds = new Set(descriptions.map(description => description.id));
		for (const id of this.#endpoints.keys()) {
			if (!endpointIds.has(id)) {
				this.#endpoints.delete(id);
			}
		}

		for (const description of descriptions) {
			this.#setEndpoint(description);
		}

		this.#byService = new Map();
		for (const endpoint of this.#endpoints.values()) {
			this.#byService.set(endpoint.service, [...(this.#byService.get(endpoint.service) ?? []), endpoint]);
		}

		for (const service of this.estimates.tokenMsByService.keys()) {
			if (!this.#byService.has(service)) {
				this.estimates.tokenMsByService.delete(service);
			}
		}
	}

	/** Returns the endpoints of a service. */
	listEndpoints(service: ids.ServiceId): readonly endpointLoad.EndpointLoad[] {
		return this.#byService.get(service) ?? [];
	}

	/** Returns an endpoint by id. */
	find(endpoint: ids.EndpointId): endpointLoad.EndpointLoad | undefined {
		return this.#endpoints.get(endpoint);
	}

	/** Applies a load report of an endpoint. */
	applyReport(endpoint: ids.EndpointId, report: endpointLoad.ReceivedLoad, now: number): void {
		this.advanceTo(now);
		this.#endpoints.get(endpoint)?.applyReport(report);
	}

	/**
	 * Records a dispatch of this router.
	 *
	 * @param uncachedTokens - Prompt tokens that are not expected in the endpoint's prefix cache, so that it computes them.
	 */
	recordDispatch(attempt: ids.AttemptId, endpointId: ids.EndpointId, uncachedTokens: number, now: number): void {
		this.advanceTo(now);
		const endpoint = this.#endpoints.get(endpointId);
		if (endpoint === undefined || this.#attempts.has(attempt)) {
			return;
		}

		this.#attempts.set(attempt, {
			endpoint, dispatchedAt: now, uncachedTokens, queueMs: endpoint.queueMs, firstTokenAt: undefined,
		});
		endpoint.addOwnChange(1, uncachedTokens);
	}

	/** Applies a change of another router's requests in flight and of their prompt tokens that are not computed yet. */
	applyPeerChange(endpoint: ids.EndpointId, requests: number, tokens: number, now: number): void {
		this.advanceTo(now);
		this.#endpoints.get(endpoint)?.addPeerChange(requests, tokens);
	}

	/** Records the first token of a request of this router, which means that its prompt is computed. */
	recordFirstToken(attemptId: ids.AttemptId, now: number): void {
		this.advanceTo(now);
		const attempt = this.#attempts.get(attemptId);
		if (attempt === undefined || attempt.firstTokenAt !== undefined) {
			return;
		}

		attempt.firstTokenAt = now;
		attempt.endpoint.addOwnChange(0, -attempt.uncachedTokens);
		this.#measurePrefill(attempt, now - attempt.dispatchedAt);
	}

	/**
	 * Records the end of a request of this router, regardless of its outcome.
	 *
	 * @param tokens - Number of generated tokens; 0 if it failed or the endpoint is no engine.
	 */
	recordEnd(attemptId: ids.AttemptId, tokens: number, now: number): void {
		this.advanceTo(now);
		const attempt = this.#attempts.get(attemptId);
		if (attempt === undefined) {
			return;
		}

		this.#attempts.delete(attemptId);
		attempt.endpoint.addOwnChange(-1, attempt.firstTokenAt === undefined ? -attempt.uncachedTokens : 0);
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

		this.#endpoints.set(description.id, new endpointLoad.EndpointLoad(description, this.estimates));
	}

	#measurePrefill(attempt: Attempt, firstTokenMs: number): void {
		const isMeasurable = attempt.uncachedTokens >= minMeasuredTokens && attempt.queueMs < firstTokenMs / 4;
		if (isMeasurable && attempt.endpoint.slowness === 1) {
			// An unknown queue makes the measured rate too low, and an unexpected cache hit makes it too high.
			const measured = attempt.uncachedTokens / Math.max(1, firstTokenMs - attempt.queueMs);
			const rate = Math.min(measured, this.#maxPrefillTokensPerMs);
			const weight = rate > this.estimates.prefillTokensPerMs ? prefillRiseSmoothing : prefillFallSmoothing;
			this.estimates.prefillTokensPerMs += (rate - this.estimates.prefillTokensPerMs) * weight;
		}
	}

	#measureDecode(attempt: Attempt, tokens: number, now: number): void {
		attempt.endpoint.addTokenMsSample((now - attempt.firstTokenAt!) / (tokens - 1));
		const holdMs = Math.max(1, now - attempt.dispatchedAt - attempt.queueMs);
		this.estimates.slotHoldMs += (holdMs - this.estimates.slotHoldMs) * slotHoldSmoothing;
		const measured = this.listEndpoints(attempt.endpoint.service)
			.map(endpoint => endpoint.tokenMs)
			.filter(tokenMs => tokenMs !== undefined)
			.sort((left, right) => left - right);
		const medianTokenMs = measured[Math.floor(measured.length / 2)];
		if (medianTokenMs !== undefined) {
			this.estimates.tokenMsByService.set(attempt.endpoint.service, medianTokenMs);
		}
	}
}

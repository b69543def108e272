import type * as endpointModel from '../model/endpoint.js';
import type * as ids from '../model/ids.js';
import * as endpointLoad from './endpoint-load.js';

/** Options of the load view. */
export type LoadViewOptions = Partial<endpointLoad.LoadOptions> & {
	/** Highest number of prompt tokens that an endpoint computes per millisecond. Default 10. */
	readonly prefillTokensPerMs?: number;
	/** Initial estimate of the time that a request occupies a slot, in milliseconds. Default 1000. */
	readonly slotHoldMs?: number;
};

/** One request of this router in flight. */
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

/** Loads of all endpoints as one router sees them: delayed reports, dispatches since, and measured speeds. */
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

	/** Number of this router's requests in flight. */
	get inFlight(): number {
		return this.#attempts.size;
	}

	/** Advances the current time, for which loads are estimated; it never goes back. */
	advanceTo(now: number): void {
		this.pool.now = Math.max(now, this.pool.now);
	}

	/** Sets the number of live routers, including this one. */
	setRouters(routers: number): void {
		this.pool.routers = Math.max(1, routers);
	}

	/** Replaces the endpoints by those of a manifest; keeps the state of endpoints that remain. */
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
		attempt.endpoint.addOwnChange(0, -attempt.missingTokens);
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
			// An unknown queue makes the measured rate too low, and an unexpected cache hit makes it too high.
			const measured = attempt.missingTokens / Math.max(1, firstTokenMs - attempt.queueMs);
			const rate = Math.min(measured, this.#maxPrefillTokensPerMs);
			const weight = rate > this.pool.prefillTokensPerMs ? prefillRiseSmoothing : prefillFallSmoothing;
			this.pool.prefillTokensPerMs += (rate - this.pool.prefillTokensPerMs) * weight;
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

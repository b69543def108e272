import type * as endpointModel from '../model/endpoint.js';
import * as engineRole from '../model/engine-role.js';
import type * as ids from '../model/ids.js';
import type * as weights from '../model/weights.js';
import type * as placementView from './placement-view.js';

/** A load report as it was received. */
export type ReceivedLoad = {
	readonly incarnation: ids.Incarnation;
	readonly running: number;
	readonly queued: number;
	/** Prompt tokens waiting to be computed. */
	readonly queuedTokens: number;
	readonly weights: readonly weights.WeightsKey[];
	readonly leaving: boolean;
};

/** What all endpoints of a pool share; changed in place by the load view. */
export type PoolEstimates = {
	/** Present time in milliseconds. */
	now: number;
	/** Live routers, this one included. */
	routers: number;
	/** Prompt tokens a millisecond of an endpoint at normal speed. */
	prefillTokensPerMs: number;
	/** Milliseconds that a request holds a slot, on average. */
	slotHoldMs: number;
	/** Milliseconds between generated tokens, in the middle of the pool. */
	tokenMs: number;
	readonly options: LoadOptions;
};

/** Options of load estimates. */
export type LoadOptions = {
	/** Milliseconds by which load reports are older than their receipt. */
	readonly reportLagMs: number;
	/** Age from which a report is not used any more, in milliseconds. */
	readonly staleReportMs: number;
	/** Part of the other routers' dispatches that is taken to go where the own ones went, 0 to 1. */
	readonly peerFactor: number;
	/** Ratio to the middle of the pool from which an endpoint counts as slow. */
	readonly slowRatio: number;
	/** Time in which a measured slowness falls to half without new measurements, in milliseconds. */
	readonly slownessHalfLifeMs: number;
};

type LoadChange = {
	readonly at: number;
	readonly requests: number;
	readonly tokens: number;
};

const tokenMsSmoothing = 0.2;
const minTokenSamples = 3;

/** One endpoint as this router sees it: its last report, the router's own dispatches since, and its measured speed. */
export class EndpointLoad implements placementView.EndpointView {
	readonly endpoint: ids.EndpointId;
	readonly service: ids.ServiceId;
	readonly dataCentre: ids.DataCentreId;
	incarnation?: ids.Incarnation;
	reachable = true;
	draining = false;
	weights: ReadonlySet<weights.WeightsKey> = new Set();
	#description: endpointModel.Endpoint;
	#isLeaving = false;
	#report: ReceivedLoad | undefined;
	#reportedAt = 0;
	#changes: LoadChange[] = [];
	#changedRequests = 0;
	#changedTokens = 0;
	#ownRequests = 0;
	#ownTokens = 0;
	#tokenMs = 0;
	#tokenSamples = 0;
	#tokenMeasuredAt = 0;

	constructor(description: endpointModel.Endpoint, private readonly pool: PoolEstimates) {
		this.#description = description;
		this.endpoint = description.id;
		this.service = description.service;
		this.dataCentre = description.dataCentre;
	}

	get leaving(): boolean {
		return this.#isLeaving || this.#description.leaving;
	}

	get takesPrompts(): boolean {
		return this.#description.role !== engineRole.EngineRole.Decode;
	}

	/** Slots at normal speed; a slow endpoint counts as a smaller one. */
	get capacity(): number {
		return this.#description.capacity / this.slowness;
	}

	get load(): number {
		const own = this.#ownRequests;
		if (!this.hasFreshReport) {
			return own * this.pool.routers;
		}

		this.#dropOldChanges();
		const reported = this.#report!.running + this.#report!.queued;
		return Math.max(own, reported + (this.#changedRequests * this.#peerMultiplier));
	}

	get queuedTokens(): number {
		const own = this.#ownTokens;
		if (!this.hasFreshReport) {
			return own * this.pool.routers;
		}

		this.#dropOldChanges();
		return Math.max(own, this.#report!.queuedTokens + (this.#changedTokens * this.#peerMultiplier));
	}

	get prefillTokensPerMs(): number {
		return this.pool.prefillTokensPerMs / this.slowness;
	}

	get queueMs(): number {
		const overload = Math.max(0, this.load + 1 - this.#description.capacity);
		const slotMs = overload * this.pool.slotHoldMs * this.slowness / Math.max(1, this.#description.capacity);
		return slotMs + (this.queuedTokens / this.prefillTokensPerMs);
	}

	/** Ratio of the time a token takes to the middle of the pool; 1 while it is not clearly slow. */
	get slowness(): number {
		if (this.#tokenSamples < minTokenSamples || this.pool.tokenMs <= 0) {
			return 1;
		}

		const ratio = this.#tokenMs / this.pool.tokenMs;
		if (ratio < this.pool.options.slowRatio) {
			return 1;
		}

		const age = Math.max(0, this.pool.now - this.#tokenMeasuredAt);
		return 1 + ((ratio - 1) * (0.5 ** (age / this.pool.options.slownessHalfLifeMs)));
	}

	/** Milliseconds between generated tokens as measured, or `undefined` before enough answers. */
	get tokenMs(): number | undefined {
		return this.#tokenSamples < minTokenSamples ? undefined : this.#tokenMs;
	}

	/** Whether a report is young enough to be used. */
	get hasFreshReport(): boolean {
		return this.#report !== undefined && this.pool.now - this.#reportedAt <= this.pool.options.staleReportMs;
	}

	/** Replaces the manifest's description. */
	setDescription(description: endpointModel.Endpoint): void {
		this.#description = description;
	}

	/** Marks the endpoint as going away, from a source other than the manifest. */
	setLeaving(isLeaving: boolean): void {
		this.#isLeaving = isLeaving;
	}

	/** Takes a load report. */
	applyReport(report: ReceivedLoad): void {
		if (this.incarnation !== undefined && this.incarnation !== report.incarnation) {
			this.#changes = [];
			this.#changedRequests = 0;
			this.#changedTokens = 0;
			this.#tokenSamples = 0;
		}

		this.incarnation = report.incarnation;
		this.#report = report;
		this.#reportedAt = this.pool.now;
		this.#isLeaving = report.leaving;
		this.weights = new Set(report.weights);
	}

	/** Counts a change of the own requests in flight and their prompt tokens that are not computed yet. */
	addOwnChange(requests: number, tokens: number): void {
		this.#ownRequests = Math.max(0, this.#ownRequests + requests);
		this.#ownTokens = Math.max(0, this.#ownTokens + tokens);
		this.#addChange(requests, tokens);
	}

	/** Counts a change that another router tells of; the next reports show it too. */
	addPeerChange(requests: number, tokens: number): void {
		// The multiple stands for routers that do not tell; a told change counts once.
		this.#addChange(requests / this.#peerMultiplier, tokens / this.#peerMultiplier);
	}

	/** Takes the mean time between tokens of one own answer. */
	addTokenMsSample(tokenMs: number): void {
		this.#tokenMs = this.#tokenSamples === 0 ? tokenMs : this.#tokenMs + ((tokenMs - this.#tokenMs) * tokenMsSmoothing);
		this.#tokenSamples += 1;
		this.#tokenMeasuredAt = this.pool.now;
	}

	get #peerMultiplier(): number {
		return 1 + (this.pool.options.peerFactor * (this.pool.routers - 1));
	}

	#addChange(requests: number, tokens: number): void {
		this.#changes.push({at: this.pool.now, requests, tokens});
		this.#changedRequests += requests;
		this.#changedTokens += tokens;
		this.#dropOldChanges();
	}

	/** Drops the changes that the last report already shows. */
	#dropOldChanges(): void {
		const since = this.#reportedAt - this.pool.options.reportLagMs;
		let dropped = 0;
		while (dropped < this.#changes.length && this.#changes[dropped]!.at <= since) {
			this.#changedRequests -= this.#changes[dropped]!.requests;
			this.#changedTokens -= this.#changes[dropped]!.tokens;
			dropped += 1;
		}

		if (dropped > 0) {
			this.#changes.splice(0, dropped);
		}
	}
}

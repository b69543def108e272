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
	/** Prompt tokens that wait to be computed. */
	readonly queuedTokens: number;
	readonly weights: readonly weights.WeightsKey[];
	readonly leaving: boolean;
};

/** Estimates that all endpoints of a load view share; the load view updates them in place. */
export type SharedEstimates = {
	/** Current time in milliseconds. */
	now: number;
	/** Number of live routers, including this one. */
	routers: number;
	/** Prompt tokens that an endpoint of normal speed computes per millisecond. */
	prefillTokensPerMs: number;
	/** Average time that a request occupies a slot, in milliseconds. */
	slotHoldMs: number;
	/** Median time between generated tokens of the endpoints of each service that was measured, in milliseconds. */
	readonly tokenMsByService: Map<ids.ServiceId, number>;
	readonly options: LoadOptions;
};

/** Options of load estimates. */
export type LoadOptions = {
	/** Time between the measurement of a load report and its receipt, in milliseconds. */
	readonly reportLagMs: number;
	/** Age above which a report is ignored, in milliseconds. */
	readonly staleReportMs: number;
	/** Share of the other routers' dispatches that is assumed to go to the same endpoints as this router's own, 0 to 1. */
	readonly peerFactor: number;
	/** Ratio to the median token time from which an endpoint counts as slow. */
	readonly slowRatio: number;
	/** Time in which a measured slowness decays to half without new measurements, in milliseconds. */
	readonly slownessHalfLifeMs: number;
};

type LoadChange = {
	readonly at: number;
	readonly requests: number;
	readonly tokens: number;
};

const tokenMsSmoothing = 0.2;
const minTokenSamples = 3;

/** Load of one endpoint as this router sees it: its last report, the dispatches since, and its measured speed. */
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

	constructor(description: endpointModel.Endpoint, private readonly estimates: SharedEstimates) {
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

	/** Number of slots, divided by the slowness of the endpoint. */
	get capacity(): number {
		return this.#description.capacity / this.slowness;
	}

	get load(): number {
		const own = this.#ownRequests;
		if (!this.hasFreshReport) {
			return own * this.estimates.routers;
		}

		this.#dropOldChanges();
		const reported = this.#report!.running + this.#report!.queued;
		return Math.max(own, reported + (this.#changedRequests * this.#peerMultiplier));
	}

	get queuedTokens(): number {
		const own = this.#ownTokens;
		if (!this.hasFreshReport) {
			return own * this.estimates.routers;
		}

		this.#dropOldChanges();
		return Math.max(own, this.#report!.queuedTokens + (this.#changedTokens * this.#peerMultiplier));
	}

	get prefillTokensPerMs(): number {
		return this.estimates.prefillTokensPerMs / this.slowness;
	}

	get queueMs(): number {
		const overload = Math.max(0, this.load + 1 - this.#description.capacity);
		const slotMs = overload * this.estimates.slotHoldMs * this.slowness / Math.max(1, this.#description.capacity);
		return slotMs + (this.queuedTokens / this.prefillTokensPerMs);
	}

	/** Ratio of the endpoint's token time to the median of its service; 1 below `slowRatio`. */
	get slowness(): number {
		const medianTokenMs = this.estimates.tokenMsByService.get(this.service) ?? 0;
		if (this.#tokenSamples < minTokenSamples || medianTokenMs <= 0) {
			return 1;
		}

		const ratio = this.#tokenMs / medianTokenMs;
		if (ratio < this.estimates.options.slowRatio) {
			return 1;
		}

		const age = Math.max(0, this.estimates.now - this.#tokenMeasuredAt);
		return 1 + ((ratio - 1) * (0.5 ** (age / this.estimates.options.slownessHalfLifeMs)));
	}

	/** Measured time between generated tokens, in milliseconds; `undefined` until enough responses were measured. */
	get tokenMs(): number | undefined {
		return this.#tokenSamples < minTokenSamples ? undefined : this.#tokenMs;
	}

	/** Whether the last report is recent enough to be used. */
	get hasFreshReport(): boolean {
		return this.#report !== undefined && this.estimates.now - this.#reportedAt <= this.estimates.options.staleReportMs;
	}

	/** Replaces the description from the manifest. */
	setDescription(description: endpointModel.Endpoint): void {
		this.#description = description;
	}

	/** Sets whether the endpoint is shutting down according to a source other than the manifest. */
	setLeaving(isLeaving: boolean): void {
		this.#isLeaving = isLeaving;
	}

	/** Applies a load report. */
	applyReport(report: ReceivedLoad): void {
		if (this.incarnation !== undefined && this.incarnation !== report.incarnation) {
			this.#changes = [];
			this.#changedRequests = 0;
			this.#changedTokens = 0;
			this.#tokenSamples = 0;
		}

		this.incarnation = report.incarnation;
		this.#report = report;
		this.#reportedAt = this.estimates.now;
		this.#isLeaving = report.leaving;
		this.weights = new Set(report.weights);
	}

	/** Adds a change of this router's requests in flight and of their prompt tokens that are not computed yet. */
	addOwnChange(requests: number, tokens: number): void {
		this.#ownRequests = Math.max(0, this.#ownRequests + requests);
		this.#ownTokens = Math.max(0, this.#ownTokens + tokens);
		this.#addChange(requests, tokens);
	}

	/** Adds a change that another router announced; later reports include it. */
	addPeerChange(requests: number, tokens: number): void {
		// The multiplier accounts for routers that announce no changes, so it is divided out of an announced change.
		this.#addChange(requests / this.#peerMultiplier, tokens / this.#peerMultiplier);
	}

	/** Adds the mean time between the tokens of one response to this router, in milliseconds. */
	addTokenMsSample(tokenMs: number): void {
		this.#tokenMs = this.#tokenSamples === 0 ? tokenMs : this.#tokenMs + ((tokenMs - this.#tokenMs) * tokenMsSmoothing);
		this.#tokenSamples += 1;
		this.#tokenMeasuredAt = this.estimates.now;
	}

	get #peerMultiplier(): number {
		return 1 + (this.estimates.options.peerFactor * (this.estimates.routers - 1));
	}

	#addChange(requests: number, tokens: number): void {
		this.#changes.push({at: this.estimates.now, requests, tokens});
		this.#changedRequests += requests;
		this.#changedTokens += tokens;
		this.#dropOldChanges();
	}

	/** Drops the changes that the last report already includes. */
	#dropOldChanges(): void {
		const since = this.#reportedAt - this.estimates.options.reportLagMs;
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

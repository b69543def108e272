import * as cacheIndex from '../cache/cache-index.js';
import type * as cacheReport from '../cache/cache-report.js';
import * as hotPrefixes from '../cache/hot-prefixes.js';
import * as prefixKeys from '../cache/prefix-keys.js';
import type * as endpointModel from '../model/endpoint.js';
import type * as weightsModel from '../model/weights.js';
import type * as endpointLoad from './endpoint-load.js';
import * as loadView from './load-view.js';
import type * as placementPolicy from './placement-policy.js';
import type * as placementRequest from './placement-request.js';
import type * as placementView from './placement-view.js';

/** Options of {@link PlacementState}. */
export type PlacementStateOptions = {
	readonly policy: placementPolicy.PlacementPolicy;
	readonly load?: loadView.LoadViewOptions;
	readonly cacheIndex?: cacheIndex.CacheIndexOptions;
	readonly hotPrefixes?: hotPrefixes.HotPrefixOptions;
	/** Returns the number of leading tokens of a prompt that the KV cache store holds. Default: none. */
	readonly countStoredTokens?: (pieces: readonly prefixKeys.PrefixPiece[]) => number;
};

/** One attempt of a request at the endpoint that it was placed on. */
export type DispatchedAttempt = {
	readonly attemptId: string;
	readonly request: placementRequest.PlacementRequest;
	readonly placement: placementRequest.Placement;
};

/** Hot pieces that an engine holds. */
export type EngineHoldings = {
	readonly endpoint: string;
	readonly incarnation: string;
	readonly keys: readonly string[];
};

/** A change of the load of an endpoint that a router announces to the others. */
export type PeerLoadChange = {
	readonly endpoint: string;
	/** Incarnation that will compute the pieces; absent when unknown. */
	readonly incarnation?: string;
	/** Change of the requests in flight. */
	readonly requests: number;
	/** Change of the prompt tokens that are not computed yet. */
	readonly tokens: number;
	/** Keys of the pieces that the endpoint is going to compute. */
	readonly keys: readonly string[];
	/** Keys that count towards the request rates of prefixes; empty except for the first dispatch of a request. */
	readonly homeKeys: readonly string[];
};

/** Returns the load change that a dispatch causes. */
export function dispatchChange(attempt: DispatchedAttempt): PeerLoadChange {
	const {request, placement} = attempt;
	let tokens = 0;
	const keys: string[] = [];
	for (const piece of request.pieces) {
		tokens += piece.tokens;
		if (tokens > placement.expectedCachedTokens) {
			keys.push(piece.key);
		}
	}

	return {
		endpoint: placement.endpoint,
		...(placement.incarnation !== undefined && {incarnation: placement.incarnation}),
		requests: 1,
		tokens: Math.max(0, request.promptTokens - placement.expectedCachedTokens),
		keys,
		homeKeys: request.excluded.size === 0 ? request.homeKeys : [],
	};
}

/** State of an endpoint as observed by the endpoint watcher. */
export type ObservedEndpoint = {
	readonly endpoint: string;
	readonly leaving: boolean;
	/** Whether it gets no new requests while an order is carried out. */
	readonly draining: boolean;
	readonly reachable: boolean;
	/** Last load report, if there is one. */
	readonly report?: endpointLoad.ReceivedLoad;
};

/** Cache information from the response of an engine. */
export type ResponseCacheOutcome = {
	readonly request: placementRequest.PlacementRequest;
	readonly endpoint: string;
	readonly incarnation: string;
	readonly cachedTokens: number;
};

/** Placement state of one router: the policy, the endpoint loads, the cache index and the request rates of prefixes. */
export class PlacementState {
	readonly loads: loadView.LoadView;
	readonly cacheIndex: cacheIndex.CacheIndex;
	readonly hotPrefixes: hotPrefixes.HotPrefixes;
	readonly #policy: placementPolicy.PlacementPolicy;
	readonly #countStoredTokens: (pieces: readonly prefixKeys.PrefixPiece[]) => number;

	constructor(options: PlacementStateOptions) {
		this.#policy = options.policy;
		this.loads = new loadView.LoadView(options.load);
		this.cacheIndex = new cacheIndex.CacheIndex(options.cacheIndex);
		this.hotPrefixes = new hotPrefixes.HotPrefixes(options.hotPrefixes);
		this.#countStoredTokens = options.countStoredTokens ?? (() => 0);
	}

	/** Replaces the endpoints by those of a manifest; keeps the state of endpoints that remain. */
	setEndpoints(endpoints: readonly endpointModel.Endpoint[]): void {
		this.loads.setEndpoints(endpoints);
		this.cacheIndex.retain(new Set(endpoints.map(endpoint => endpoint.id)));
	}

	/** Counts a request of a caller towards the rates of its prefix. Called once per request, not per attempt. */
	recordArrival(request: placementRequest.PlacementRequest, now: number): void {
		this.hotPrefixes.record(request.homeKeys, now);
	}

	/** Applies a load report of an endpoint; ignores it if its incarnation is known to have ended. */
	applyLoadReport(endpoint: string, report: endpointLoad.ReceivedLoad, now: number): void {
		if (this.cacheIndex.observeIncarnation(endpoint, report.incarnation)) {
			this.loads.applyReport(endpoint, report, now);
		}
	}

	/** Applies the observed state of an endpoint, with its load report if there is one. */
	applyObservation(state: ObservedEndpoint, now: number): void {
		if (state.report !== undefined) {
			this.applyLoadReport(state.endpoint, state.report, now);
		}

		const endpoint = this.loads.find(state.endpoint); // eslint-disable-line unicorn/no-array-callback-reference
		endpoint?.setLeaving(state.leaving);
		if (endpoint !== undefined) {
			endpoint.draining = state.draining;
			endpoint.reachable = state.reachable;
		}
	}

	/** Chooses the endpoint for a request. */
	place(request: placementRequest.PlacementRequest, now: number): placementRequest.Placement | undefined {
		this.loads.advanceTo(now);
		return this.#policy.place(request, this.createView(request.service), now);
	}

	/** Records the dispatch of an attempt to the endpoint of its placement. */
	recordDispatch(attempt: DispatchedAttempt, now: number): void {
		const {request, placement} = attempt;
		const uncachedTokens = Math.max(0, request.promptTokens - placement.expectedCachedTokens);
		this.loads.recordDispatch(attempt.attemptId, placement.endpoint, uncachedTokens, now);
		this.hotPrefixes.setPieceKeys(request.homeKeys, request.pieces.map(piece => piece.key));
		if (placement.incarnation !== undefined) {
			this.cacheIndex.addExpected(cacheReportOf(attempt, placement.incarnation));
		}
	}

	/** Applies a load change that another router announced for a dispatch or its end. */
	applyPeerChange(change: PeerLoadChange, now: number): void {
		if (change.homeKeys.length > 0) {
			this.hotPrefixes.record(change.homeKeys, now);
		}

		this.loads.applyPeerChange(change.endpoint, change.requests, change.tokens, now);
		if (change.incarnation !== undefined) {
			this.cacheIndex.addExpectedKeys(change.endpoint, change.incarnation, change.keys);
		}
	}

	/** Records the end of an attempt without a response. */
	recordFailure(attempt: DispatchedAttempt, now: number): void {
		const {placement} = attempt;
		this.loads.recordEnd(attempt.attemptId, 0, now);
		if (placement.incarnation !== undefined) {
			this.cacheIndex.removeExpected(cacheReportOf(attempt, placement.incarnation), placement.expectedCachedTokens);
		}
	}

	/** Corrects the cache index by a response. */
	recordResponse(outcome: ResponseCacheOutcome): void {
		this.cacheIndex.applyResponse({
			endpoint: outcome.endpoint,
			incarnation: outcome.incarnation,
			salt: saltOf(outcome.request),
			pieces: outcome.request.pieces,
			cachedTokens: outcome.cachedTokens,
		});
	}

	/** Returns the hottest pieces that the given engines are confirmed to hold, at most `limit` pieces in total. */
	listHoldings(endpoints: readonly string[], limit: number, now: number): EngineHoldings[] {
		const pieces = this.hotPrefixes.hottestPieces(limit, now);
		let remaining = limit;
		const holdings: EngineHoldings[] = [];
		for (const endpoint of endpoints) {
			const incarnation = this.cacheIndex.incarnationOf(endpoint);
			const keys = pieces.filter(key => this.cacheIndex.holds(endpoint, key)).slice(0, remaining);
			remaining -= keys.length;
			if (incarnation !== undefined) {
				holdings.push({endpoint, incarnation, keys});
			}
		}

		return holdings;
	}

	/** Creates the view of a service for a policy. */
	createView(service: string): placementView.PlacementView {
		const endpoints = this.loads.listEndpoints(service);
		return {
			endpoints,
			hits: request => this.cacheIndex.lookup(saltOf(request), request.pieces),
			storedTokens: request => this.#countStoredTokens(request.pieces),
			homeCount: (homeKey, at) => this.hotPrefixes.homeCount(homeKey, endpoints.length, at),
			levels: (homeKeys, at) => this.hotPrefixes.levels(homeKeys, at),
		};
	}
}

function cacheReportOf(attempt: DispatchedAttempt, incarnation: string): Omit<cacheReport.ResponseCacheReport, 'cachedTokens'> {
	return {
		endpoint: attempt.placement.endpoint,
		incarnation,
		salt: saltOf(attempt.request),
		pieces: attempt.request.pieces,
	};
}

function saltOf(request: placementRequest.PlacementRequest): weightsModel.WeightsKey {
	return prefixKeys.saltOfKey(request.account, request.weights ?? '');
}

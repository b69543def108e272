import * as core from '@bluebellmast/core';
import type * as wire from '@bluebellmast/wire';
import * as purify from 'purify-ts';
import type * as call from '../filters/call.js';
import type * as requestContext from '../filters/request-context.js';
import type * as clock from '../util/clock.js';

/** Delay that callers are asked to wait before a retry when no endpoint can take the request. */
const retryAfterNoEndpointMs = 1000;
/** Time for which an endpoint gets no new requests after a failed connection attempt. */
const unreachablePauseMs = 1000;

/** Why a request could not be placed. */
export type PlacementProblem = {
	readonly code: core.model.ErrorCode;
	readonly message: string;
	readonly retryAfterMs?: number;
};

/** Engine and weights chosen for a chat call. */
export type ChatTarget = {
	readonly endpoint: core.model.Endpoint;
	readonly weights: core.model.Weights;
	readonly request: core.placement.PlacementRequest;
	readonly placement: core.placement.Placement;
};

/** Options and dependencies of `Placer`. */
export type PlacerOptions = {
	/** Placement state of engines; its policy considers the prefixes of prompts. */
	readonly engines: core.placement.PlacementState;
	/** Placement state of plain services; its policy considers only load. */
	readonly services: core.placement.PlacementState;
	readonly clock: clock.Clock;
	/** Returns the active manifest. */
	readonly manifest: () => core.model.Manifest | undefined;
	/** Returns whether the active manifest is confirmed; chat calls are placed only then. */
	readonly isConfirmed: () => boolean;
};

/** Chooses the weights and endpoint of requests, by the manifest that is active at the time of the choice. */
export class Placer {
	readonly #options: PlacerOptions;
	readonly #unreachableUntil = new Map<core.model.EndpointId, number>();

	constructor(options: PlacerOptions) {
		this.#options = options;
	}

	/** Records the arrival of a chat call, for the request rate of its prompt prefix. */
	recordArrival(ctx: requestContext.RequestContext): void {
		const {homeKeys} = ctx.prompt!;
		this.#options.engines.hotPrefixes.record(homeKeys, this.#options.clock.now());
	}

	/** Chooses weights and engine of a chat call. Prefers the first allowed weights whose engine is not at its capacity. */
	placeChat(
		ctx: requestContext.RequestContext,
		chatCall: call.ChatCall,
		excluded: ReadonlySet<core.model.EndpointId>,
	): purify.Either<PlacementProblem, ChatTarget> {
		const manifest = this.#options.manifest();
		if (manifest === undefined || !this.#options.isConfirmed()) {
			return refuse(core.model.ErrorCode.ManifestUnconfirmed, 'this router cannot confirm its manifest at present');
		}

		const allowed = core.manifest.allowedWeights(manifest, chatCall.model, chatCall.adapter);
		if (allowed.length === 0) {
			return refuse(core.model.ErrorCode.WeightsRecalled, `no weights of ${chatCall.model} are allowed`);
		}

		const allExcluded = this.#addUnreachable(excluded);
		const targets = allowed.flatMap(weights =>
			this.#chooseEngine(manifest, this.#createRequest(ctx, manifest, {weights, maxTokens: chatCall.maxTokens, excluded: allExcluded}), weights));
		const target = targets.find(candidate => !this.#isBusy(candidate)) ?? targets[0];
		return target === undefined
			? refuse(core.model.ErrorCode.NoEndpoint, `no engine can serve ${chatCall.model} at present`)
			: purify.Right(target);
	}

	/** Chooses the endpoint of a call of a plain service. */
	placeService(
		ctx: requestContext.RequestContext,
		serviceCall: call.ServiceCall,
		excluded: ReadonlySet<core.model.EndpointId>,
	): purify.Either<PlacementProblem, core.model.Endpoint> {
		const request = {
			requestId: ctx.id,
			account: ctx.account!.id,
			service: serviceCall.service,
			pieces: [],
			homeKeys: [],
			promptTokens: 0,
			maxTokens: 0,
			excluded: this.#addUnreachable(excluded),
		};
		const manifest = this.#options.manifest() ?? ctx.manifest;
		const placement = this.#options.services.place(request, this.#options.clock.now());
		const endpoint = manifest.endpoints.find(candidate => candidate.id === placement?.endpoint);
		return endpoint === undefined
			? refuse(core.model.ErrorCode.NoEndpoint, `no endpoint of ${serviceCall.service} can serve at present`)
			: purify.Right(endpoint);
	}

	/** Records that an attempt is sent to an engine. */
	recordChatDispatch(target: ChatTarget, attemptId: core.model.AttemptId): void {
		const {request, placement} = target;
		this.#options.engines.recordDispatch({attemptId, request, placement}, this.#options.clock.now());
	}

	/** Records that an attempt is sent to an endpoint of a plain service. */
	recordServiceDispatch(endpoint: core.model.EndpointId, attempt: core.model.AttemptId): void {
		this.#options.services.loads.recordDispatch(attempt, endpoint, 0, this.#options.clock.now());
	}

	/** Records the first token of an attempt. */
	recordFirstToken(attempt: core.model.AttemptId): void {
		this.#options.engines.loads.recordFirstToken(attempt, this.#options.clock.now());
	}

	/** Records the end of an attempt at an engine; without token counts it counts as failed. */
	recordChatEnd(
		target: ChatTarget,
		attemptId: core.model.AttemptId,
		incarnation: core.model.Incarnation | undefined,
		usage: wire.endpoint.CompletionUsage | undefined,
	): void {
		const {request, placement} = target;
		const now = this.#options.clock.now();
		if (usage === undefined || incarnation === undefined) {
			this.#options.engines.recordFailure({attemptId, request, placement}, now);
			return;
		}

		this.#options.engines.loads.recordEnd(attemptId, usage.completion_tokens, now);
		this.#options.engines.recordResponse({
			request, endpoint: target.endpoint.id, incarnation, cachedTokens: usage.prompt_tokens_details.cached_tokens,
		});
	}

	/** Records the end of an attempt at a plain service. */
	recordServiceEnd(attempt: core.model.AttemptId): void {
		this.#options.services.loads.recordEnd(attempt, 0, this.#options.clock.now());
	}

	/** Records the failure of an attempt. An endpoint that could not be connected to is excluded for a while. */
	recordFailure(endpoint: core.model.EndpointId, cause: core.request.FailureCause): void {
		if (cause === core.request.FailureCause.ConnectFailed) {
			this.#unreachableUntil.set(endpoint, this.#options.clock.now() + unreachablePauseMs);
		}
	}

	#createRequest(
		ctx: requestContext.RequestContext,
		manifest: core.model.Manifest,
		options: {
			readonly weights: core.model.Weights;
			readonly maxTokens: number;
			readonly excluded: ReadonlySet<core.model.EndpointId>;
		},
	): core.placement.PlacementRequest {
		const {weights, maxTokens, excluded} = options;
		const model = manifest.models.find(candidate => candidate.id === weights.model)!;
		return {
			requestId: ctx.id,
			account: ctx.account!.id,
			service: model.service,
			weights: core.model.formatWeights(weights),
			pieces: core.cache.bindPrefix(ctx.prompt!, weights),
			homeKeys: ctx.prompt!.homeKeys,
			promptTokens: ctx.prompt!.promptTokens,
			maxTokens,
			excluded,
		};
	}

	#chooseEngine(
		manifest: core.model.Manifest,
		request: core.placement.PlacementRequest,
		weights: core.model.Weights,
	): ChatTarget[] {
		const placement = this.#options.engines.place(request, this.#options.clock.now());
		const endpoint = manifest.endpoints.find(candidate => candidate.id === placement?.endpoint);
		if (placement === undefined || endpoint === undefined) {
			return [];
		}

		return [{
			endpoint, weights, request, placement,
		}];
	}

	#isBusy(target: ChatTarget): boolean {
		const endpoints = this.#options.engines.loads.listEndpoints(target.endpoint.service);
		const view = endpoints.find(candidate => candidate.endpoint === target.endpoint.id);
		return view !== undefined && view.load >= view.capacity;
	}

	/** Returns the excluded endpoints and those excluded after a recent failed connection attempt. */
	#addUnreachable(excluded: ReadonlySet<core.model.EndpointId>): ReadonlySet<core.model.EndpointId> {
		const now = this.#options.clock.now();
		const all = new Set(excluded);
		for (const [endpoint, until] of this.#unreachableUntil) {
			if (until <= now) {
				this.#unreachableUntil.delete(endpoint);
			} else {
				all.add(endpoint);
			}
		}

		return all;
	}
}

function refuse(code: core.model.ErrorCode, message: string): purify.Either<PlacementProblem, never> {
	return purify.Left({code, message, retryAfterMs: retryAfterNoEndpointMs});
}

import * as core from '@bluebellmast/core';
import type * as wire from '@bluebellmast/wire';
import * as purify from 'purify-ts';
import type * as call from '../filters/call.js';
import type * as requestContext from '../filters/request-context.js';
import type * as clock from '../util/clock.js';

/** Milliseconds after which a caller may try again when no endpoint can take its request. */
const retryAfterNoEndpointMs = 1000;
/** Milliseconds for which an endpoint that could not be reached gets no new work. */
const unreachablePauseMs = 1000;

/** Why a request could not be placed. */
export type PlacementProblem = {
	readonly code: core.model.ErrorCode;
	readonly message: string;
	readonly retryAfterMs?: number;
};

/** Where a chat call goes. */
export type ChatTarget = {
	readonly endpoint: core.model.Endpoint;
	readonly weights: core.model.Weights;
	readonly request: core.placement.PlacementRequest;
	readonly placement: core.placement.Placement;
};

/** What a placer works with. */
export type PlacerOptions = {
	/** Decides by the prefixes of prompts, for engines. */
	readonly engines: core.placement.PlacementState;
	/** Decides by load alone, for plain services. */
	readonly services: core.placement.PlacementState;
	readonly clock: clock.Clock;
	/** Configuration in force now. */
	readonly manifest: () => core.model.Manifest | undefined;
	/** Whether the configuration in force is confirmed, so that model requests may be placed. */
	readonly isConfirmed: () => boolean;
};

/** Chooses weights and endpoint of requests, on the configuration in force at the time of the choice. */
export class Placer {
	readonly #options: PlacerOptions;
	readonly #unreachableUntil = new Map<core.model.EndpointId, number>();

	constructor(options: PlacerOptions) {
		this.#options = options;
	}

	/** Counts a caller's chat call for the rates of its prefix. */
	recordArrival(ctx: requestContext.RequestContext): void {
		const {homeKeys} = ctx.prompt!;
		this.#options.engines.hotPrefixes.record(homeKeys, this.#options.clock.now());
	}

	/** Chooses weights and engine of a chat call. Preferred weights go first unless their engines are busy. */
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

		const all = this.#addUnreachable(excluded);
		const targets = allowed.flatMap(weights =>
			this.#chooseEngine(manifest, this.#createRequest(ctx, manifest, {weights, maxTokens: chatCall.maxTokens, excluded: all}), weights));
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

	/** Notes that a try goes to an engine. */
	recordChatDispatch(target: ChatTarget, attemptId: core.model.AttemptId): void {
		const {request, placement} = target;
		this.#options.engines.recordDispatch({attemptId, request, placement}, this.#options.clock.now());
	}

	/** Notes that a try goes to an endpoint of a plain service. */
	recordServiceDispatch(endpoint: core.model.EndpointId, attempt: core.model.AttemptId): void {
		this.#options.services.loads.recordDispatch(attempt, endpoint, 0, this.#options.clock.now());
	}

	/** Notes the first token of a try. */
	recordFirstToken(attempt: core.model.AttemptId): void {
		this.#options.engines.loads.recordFirstToken(attempt, this.#options.clock.now());
	}

	/** Notes the end of a try at an engine, with its token counts when it has told them. */
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
		this.#options.engines.recordAnswer({
			request, endpoint: target.endpoint.id, incarnation, cachedTokens: usage.prompt_tokens_details.cached_tokens,
		});
	}

	/** Notes the end of a try at a plain service. */
	recordServiceEnd(attempt: core.model.AttemptId): void {
		this.#options.services.loads.recordEnd(attempt, 0, this.#options.clock.now());
	}

	/** Notes that a try at an endpoint failed. */
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

	/** Adds the endpoints that could not be reached a moment ago. */
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

import * as core from '@bluebellmast/core';
import * as purify from 'purify-ts';
import type * as admission from '../filters/admission.js';
import * as callModule from '../filters/call.js';
import type * as requestContext from '../filters/request-context.js';
import * as clock from '../util/clock.js';
import * as noop from '../util/noop.js';
import type * as metrics from '../util/metrics.js';
import type * as controller from './controller.js';
import * as oneShotTimer from './one-shot-timer.js';
import type * as usageController from './usage-controller.js';

/** Options of {@link createUsageAdmission}. */
export type UsageAdmissionOptions = {
	readonly usage: usageController.UsageController;
	readonly metrics: metrics.Metrics;
	readonly manifest: () => core.model.Manifest | undefined;
	/** Returns the number of live routers. */
	readonly countRouters: () => number;
	/** System clock by default. */
	readonly clock?: clock.Clock;
	/** System timer by default. */
	readonly timer?: oneShotTimer.OneShotTimer;
	/** Milliseconds between updates of the concurrency limits to the reported load; 250 by default. */
	readonly updateIntervalMs?: number;
	/** Overrides of the default admission options of each pool. */
	readonly poolOptions?: Partial<core.limits.PoolAdmissionOptions>;
};

type AdmissionResult = purify.Either<core.model.Refusal, admission.Release>;

type AdmissionCallback = (admitted: AdmissionResult) => void;

type ResolvedOptions = Required<UsageAdmissionOptions>;

function findService(ctx: requestContext.RequestContext): core.model.ServiceId | undefined {
	switch (ctx.call.type) {
		case callModule.CallType.Chat: {
			const {model} = ctx.call;
			return ctx.manifest.models.find(item => item.id === model)?.service;
		}

		case callModule.CallType.Service: {
			return ctx.call.service;
		}

		case callModule.CallType.IssueKey: {
			return undefined;
		}
	}
}

/** Admits requests within their account's limits and, by fair queueing, within the concurrency limit of their pool. */
export class UsageAdmission implements admission.Admission, controller.Controller {
	readonly #options: ResolvedOptions;
	readonly #pools = new Map<core.model.ServiceId, core.limits.PoolAdmission>();
	readonly #loads = new Map<core.model.EndpointId, core.limits.PoolLoad>();
	readonly #admissionCallbacks = new Map<core.model.RequestId, AdmissionCallback>();
	readonly #serviceByRequest = new Map<core.model.RequestId, core.model.ServiceId>();
	#cancelUpdate?: () => void;

	constructor(options: ResolvedOptions) {
		this.#options = options;
	}

	async start(): Promise<void> {
		this.#scheduleUpdate();
	}

	async stop(): Promise<void> {
		this.#cancelUpdate?.();
	}

	/** Records the latest load report of an endpoint. */
	recordLoad(endpoint: core.model.EndpointId, load: core.limits.PoolLoad): void {
		this.#loads.set(endpoint, load);
	}

	/** Records that the response to an admitted request has started. */
	recordResponseStart(id: core.model.RequestId): void {
		const service = this.#serviceByRequest.get(id);
		if (service !== undefined) {
			this.#applyAdmissionEvent(service, {type: core.limits.AdmissionEventType.Begin, id});
		}
	}

	async admit(ctx: requestContext.RequestContext): Promise<AdmissionResult> {
		const {usage, metrics} = this.#options;
		const account = ctx.account!;
		const waitMs = usage.admit(account, 0);
		if (waitMs > 0) {
			metrics.increment('limits.rate_limited', 1, {account: account.id});
			return purify.Left(core.request.createRefusal(core.model.ErrorCode.RateLimited, [], {
				message: 'the account is over its limit',
				...(Number.isFinite(waitMs) && {retryAfterMs: waitMs}),
			}));
		}

		const service = findService(ctx);
		return service === undefined ? purify.Right(noop.noop) : this.#admitToPool(ctx, account, service);
	}

	async #admitToPool(
		ctx: requestContext.RequestContext,
		account: core.model.ClientAccount,
		service: core.model.ServiceId,
	): Promise<AdmissionResult> {
		const {weight, priority, repeatable} = ctx.kind!;
		const request = {
			id: ctx.id,
			account: account.id,
			share: account.share,
			weight,
			priority,
			repeatable,
			deadlineAt: ctx.deadlineAt!,
			arrivedAt: ctx.arrivedAt,
		};
		const admitted = await new Promise<AdmissionResult>(resolve => {
			const abortWait = (): void => {
				this.#abortWait(ctx.id, service, ctx.signal?.reason as core.model.ErrorCode);
			};

			this.#admissionCallbacks.set(ctx.id, resolve);
			this.#serviceByRequest.set(ctx.id, service);
			ctx.signal?.addEventListener('abort', abortWait, {once: true});
			this.#applyAdmissionEvent(service, {type: core.limits.AdmissionEventType.Arrive, request});
			// A signal that was aborted before emits no event.
			if (ctx.signal?.aborted) {
				abortWait();
			}
		});
		if (admitted.isLeft()) {
			this.#serviceByRequest.delete(ctx.id);
			this.#options.usage.count(account, -1, 0);
		}

		return admitted;
	}

	/** Ends the wait of a request whose caller has disconnected or whose deadline has passed. */
	#abortWait(id: core.model.RequestId, service: core.model.ServiceId, code: core.model.ErrorCode): void {
		const resolve = this.#admissionCallbacks.get(id);
		if (resolve === undefined) {
			return;
		}

		this.#admissionCallbacks.delete(id);
		this.#applyAdmissionEvent(service, {type: core.limits.AdmissionEventType.End, id});
		resolve(purify.Left(core.request.createRefusal(code, [], {message: 'the request ended before it was admitted'})));
	}

	#applyAdmissionEvent(service: core.model.ServiceId, event: core.limits.AdmissionEvent): void {
		const {state, effects} = core.limits.stepAdmission(this.#getPool(service), event, this.#options.clock.now());
		this.#pools.set(service, state);
		for (const effect of effects) {
			this.#executeEffect(service, effect);
		}
	}

	#executeEffect(service: core.model.ServiceId, effect: core.limits.AdmissionEffect): void {
		const resolve = this.#admissionCallbacks.get(effect.id);
		this.#admissionCallbacks.delete(effect.id);
		if (effect.type === core.limits.AdmissionEffectType.Admit) {
			resolve?.(purify.Right(() => {
				this.#serviceByRequest.delete(effect.id);
				this.#applyAdmissionEvent(service, {type: core.limits.AdmissionEventType.End, id: effect.id});
			}));
			return;
		}

		const {code, retryAfterMs} = effect;
		this.#options.metrics.increment('limits.shed', 1, {service});
		resolve?.(purify.Left(core.request.createRefusal(code, [], {message: 'the system is overloaded', retryAfterMs})));
	}

	#getPool(service: core.model.ServiceId): core.limits.PoolAdmission {
		const known = this.#pools.get(service);
		if (known !== undefined) {
			return known;
		}

		const limit = core.limits.createConcurrencyLimit(this.#sumCapacity(service), this.#options.countRouters());
		return core.limits.createPoolAdmission(limit, this.#options.poolOptions);
	}

	#listEndpoints(service: core.model.ServiceId): readonly core.model.Endpoint[] {
		const endpoints = this.#options.manifest()?.endpoints ?? [];
		return endpoints.filter(endpoint => endpoint.service === service && !endpoint.leaving);
	}

	#sumCapacity(service: core.model.ServiceId): number {
		let capacity = 0;
		for (const endpoint of this.#listEndpoints(service)) {
			capacity += endpoint.capacity;
		}

		return capacity;
	}

	/** Removes the loads of endpoints, and the unused pools of services, that are no longer in the manifest. */
	#removeUnlisted(): void {
		const manifest = this.#options.manifest();
		const endpoints = new Set(manifest?.endpoints.map(endpoint => endpoint.id));
		for (const endpoint of this.#loads.keys()) {
			if (!endpoints.has(endpoint)) {
				this.#loads.delete(endpoint);
			}
		}

		const services = new Set(manifest?.services.map(service => service.id));
		for (const [service, {inFlight, queue}] of this.#pools) {
			if (!services.has(service) && inFlight.size === 0 && queue.items.length === 0) {
				this.#pools.delete(service);
			}
		}
	}

	#updateLimits(): void {
		this.#removeUnlisted();
		for (const service of this.#pools.keys()) {
			const load = {running: 0, queued: 0};
			for (const endpoint of this.#listEndpoints(service)) {
				load.running += this.#loads.get(endpoint.id)?.running ?? 0;
				load.queued += this.#loads.get(endpoint.id)?.queued ?? 0;
			}

			this.#applyAdmissionEvent(service, {
				type: core.limits.AdmissionEventType.Load, load, capacity: this.#sumCapacity(service), routers: this.#options.countRouters(),
			});
			this.#options.metrics.gauge('limits.concurrency', this.#getPool(service).limit.limit, {service});
		}
	}

	#scheduleUpdate(): void {
		const {timer, updateIntervalMs} = this.#options;
		this.#cancelUpdate = timer.after(updateIntervalMs, () => {
			this.#updateLimits();
			this.#scheduleUpdate();
		});
	}
}

/** Creates a usage admission; omitted options get their default values. */
export function createUsageAdmission(options: UsageAdmissionOptions): UsageAdmission {
	return new UsageAdmission({
		clock: new clock.SystemClock(),
		timer: new oneShotTimer.SystemTimer(),
		updateIntervalMs: 250,
		poolOptions: {},
		...options,
	});
}

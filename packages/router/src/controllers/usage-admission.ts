import * as core from '@bluebellmast/core';
import * as purify from 'purify-ts';
import type * as admission from '../filters/admission.js';
import * as callModule from '../filters/call.js';
import type * as requestContext from '../filters/request-context.js';
import * as clock from '../util/clock.js';
import * as noop from '../util/noop.js';
import type * as metrics from '../util/metrics.js';
import type * as controller from './controller.js';
import * as ledgerTimer from './ledger-timer.js';
import type * as usageController from './usage-controller.js';

/** Options of {@link createUsageAdmission}. */
export type UsageAdmissionOptions = {
	readonly usage: usageController.UsageController;
	readonly metrics: metrics.Metrics;
	readonly manifest: () => core.model.Manifest | undefined;
	/** Number of live routers. */
	readonly routers: () => number;
	/** Clock of the machine by default. */
	readonly clock?: clock.Clock;
	/** Timer of the machine by default. */
	readonly timer?: ledgerTimer.LedgerTimer;
	/** Time between two adaptations to the reported load; 250 by default. */
	readonly adaptIntervalMs?: number;
	/** Changes to the default terms of each pool. */
	readonly terms?: Partial<core.limits.PoolAdmissionOptions>;
};

type Admitted = purify.Either<core.model.Refusal, admission.Release>;

type Waiting = (admitted: Admitted) => void;

type SettledOptions = Required<UsageAdmissionOptions>;

function serviceOf(ctx: requestContext.RequestContext): core.model.ServiceId | undefined {
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

/** Admits requests by their account's limit, and to each pool by fair shares within its concurrency limit. */
export class UsageAdmission implements admission.Admission, controller.Controller {
	readonly #options: SettledOptions;
	readonly #pools = new Map<core.model.ServiceId, core.limits.PoolAdmission>();
	readonly #loads = new Map<core.model.EndpointId, core.limits.PoolLoad>();
	readonly #waiting = new Map<core.model.RequestId, Waiting>();
	readonly #services = new Map<core.model.RequestId, core.model.ServiceId>();
	#cancelAdapt?: () => void;

	constructor(options: SettledOptions) {
		this.#options = options;
	}

	async start(): Promise<void> {
		this.#scheduleAdapt();
	}

	async stop(): Promise<void> {
		this.#cancelAdapt?.();
	}

	/** Takes the latest load report of an endpoint. */
	reported(endpoint: core.model.EndpointId, load: core.limits.PoolLoad): void {
		this.#loads.set(endpoint, load);
	}

	/** Notes that the answer of an admitted request began. */
	begun(id: core.model.RequestId): void {
		const service = this.#services.get(id);
		if (service !== undefined) {
			this.#step(service, {type: core.limits.AdmissionEventType.Begin, id});
		}
	}

	async admit(ctx: requestContext.RequestContext): Promise<Admitted> {
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

		const service = serviceOf(ctx);
		return service === undefined ? purify.Right(noop.noop) : this.#admitToPool(ctx, account, service);
	}

	async #admitToPool(
		ctx: requestContext.RequestContext,
		account: core.model.ClientAccount,
		service: core.model.ServiceId,
	): Promise<Admitted> {
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
		const admitted = await new Promise<Admitted>(resolve => {
			this.#waiting.set(ctx.id, resolve);
			this.#services.set(ctx.id, service);
			ctx.signal?.addEventListener('abort', () => {
				this.#giveUp(ctx.id, service, ctx.signal?.reason as core.model.ErrorCode);
			}, {once: true});
			this.#step(service, {type: core.limits.AdmissionEventType.Arrive, request});
		});
		if (admitted.isLeft()) {
			this.#services.delete(ctx.id);
			this.#options.usage.count(account, -1, 0);
		}

		return admitted;
	}

	/** Ends the wait of a request whose caller went away or whose deadline passed. */
	#giveUp(id: core.model.RequestId, service: core.model.ServiceId, code: core.model.ErrorCode): void {
		const resolve = this.#waiting.get(id);
		if (resolve === undefined) {
			return;
		}

		this.#waiting.delete(id);
		this.#step(service, {type: core.limits.AdmissionEventType.End, id});
		resolve(purify.Left(core.request.createRefusal(code, [], {message: 'the request ended before it was admitted'})));
	}

	#step(service: core.model.ServiceId, event: core.limits.AdmissionEvent): void {
		const {state, effects} = core.limits.stepAdmission(this.#poolOf(service), event, this.#options.clock.now());
		this.#pools.set(service, state);
		for (const effect of effects) {
			this.#carryOut(service, effect);
		}
	}

	#carryOut(service: core.model.ServiceId, effect: core.limits.AdmissionEffect): void {
		const resolve = this.#waiting.get(effect.id);
		this.#waiting.delete(effect.id);
		if (effect.type === core.limits.AdmissionEffectType.Admit) {
			resolve?.(purify.Right(() => {
				this.#services.delete(effect.id);
				this.#step(service, {type: core.limits.AdmissionEventType.End, id: effect.id});
			}));
			return;
		}

		const {code, retryAfterMs} = effect;
		this.#options.metrics.increment('limits.shed', 1, {service});
		resolve?.(purify.Left(core.request.createRefusal(code, [], {message: 'the system is overloaded', retryAfterMs})));
	}

	#poolOf(service: core.model.ServiceId): core.limits.PoolAdmission {
		const known = this.#pools.get(service);
		if (known !== undefined) {
			return known;
		}

		const limit = core.limits.createConcurrencyLimit(this.#capacityOf(service), this.#options.routers());
		return core.limits.createPoolAdmission(limit, this.#options.terms);
	}

	#endpointsOf(service: core.model.ServiceId): readonly core.model.Endpoint[] {
		const endpoints = this.#options.manifest()?.endpoints ?? [];
		return endpoints.filter(endpoint => endpoint.service === service && !endpoint.leaving);
	}

	#capacityOf(service: core.model.ServiceId): number {
		let capacity = 0;
		for (const endpoint of this.#endpointsOf(service)) {
			capacity += endpoint.capacity;
		}

		return capacity;
	}

	#adapt(): void {
		for (const service of this.#pools.keys()) {
			const load = {running: 0, queued: 0};
			for (const endpoint of this.#endpointsOf(service)) {
				load.running += this.#loads.get(endpoint.id)?.running ?? 0;
				load.queued += this.#loads.get(endpoint.id)?.queued ?? 0;
			}

			this.#step(service, {
				type: core.limits.AdmissionEventType.Load, load, capacity: this.#capacityOf(service), routers: this.#options.routers(),
			});
			this.#options.metrics.gauge('limits.concurrency', this.#poolOf(service).limit.limit, {service});
		}
	}

	#scheduleAdapt(): void {
		const {timer, adaptIntervalMs} = this.#options;
		this.#cancelAdapt = timer.after(adaptIntervalMs, () => {
			this.#adapt();
			this.#scheduleAdapt();
		});
	}
}

/** Creates the admission. */
export function createUsageAdmission(options: UsageAdmissionOptions): UsageAdmission {
	return new UsageAdmission({
		clock: new clock.SystemClock(),
		timer: new ledgerTimer.SystemTimer(),
		adaptIntervalMs: 250,
		terms: {},
		...options,
	});
}

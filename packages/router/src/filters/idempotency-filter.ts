import * as crypto from 'node:crypto';
import * as core from '@bluebellmast/core';
import type * as forwardController from '../forward/forward-controller.js';
import * as callModule from './call.js';
import type * as filter from './filter.js';
import type * as idempotencyStore from './idempotency-store.js';
import type * as requestContext from './request-context.js';

const maxKeyLength = 200;

/** Forwards a request to the router that issued its idempotency key. */
export type Forwarder = Pick<forwardController.ForwardController, 'forward'>;

/** Options of the idempotency filter. */
export type IdempotencyFilterOptions = {
	readonly store: idempotencyStore.IdempotencyStore;
	/** Forwards requests whose key another router issued to that router; absent for requests that were forwarded here. */
	readonly forwarder?: Forwarder;
	/** Returns the router that issued a key if it is another live router, otherwise `undefined`. */
	readonly findIssuer: (key: string, account: core.model.AccountId) => forwardController.Issuer | undefined;
};

/** Ensures by the idempotency key that a request that must not be repeated runs at most once. */
export class IdempotencyFilter implements filter.Filter {
	readonly #options: IdempotencyFilterOptions;

	constructor(options: IdempotencyFilterOptions) {
		this.#options = options;
	}

	async handle(ctx: requestContext.RequestContext, next: filter.Next): Promise<void> {
		if (ctx.kind!.repeatable || ctx.call.type !== callModule.CallType.Service) {
			await next();
			return;
		}

		const key = ctx.headers.idempotencyKey;
		if (key === undefined || key.length === 0 || key.length > maxKeyLength) {
			ctx.response.sendRefusal(core.request.createRefusal(core.model.ErrorCode.IdempotencyKeyRequired, [], {
				message: 'this call may not be repeated and needs an idempotency key',
				findings: [{place: 'idempotency-key', message: `must hold 1 to ${maxKeyLength} characters`}],
			}));
			return;
		}

		await this.#handleWithKey(ctx, ctx.call, key, next);
	}

	async #handleWithKey(
		ctx: requestContext.RequestContext,
		call: callModule.ServiceCall,
		key: string,
		next: filter.Next,
	): Promise<void> {
		const issuer = this.#options.findIssuer(key, ctx.account!.id);
		const {forwarder} = this.#options;
		if (issuer !== undefined && forwarder !== undefined) {
			await forward(ctx, call, forwarder, issuer);
			return;
		}

		const intent = {
			account: ctx.account!.id,
			key,
			digest: computeDigest(call),
			attempt: ctx.id,
			deadlineAt: ctx.deadlineAt!,
		};
		const verdict = await this.#options.store.begin(intent);
		if (verdict.isLeft()) {
			ctx.response.sendRefusal(verdict.extract());
			return;
		}

		const recordedResponse = verdict.unsafeCoerce();
		if (recordedResponse === undefined) {
			await this.#runAndRecord(ctx, intent, next);
			return;
		}

		ctx.response.sendBuffered(recordedResponse);
	}

	async #runAndRecord(
		ctx: requestContext.RequestContext,
		intent: idempotencyStore.Intent,
		next: filter.Next,
	): Promise<void> {
		try {
			await next();
		} finally {
			this.#options.store.finish(intent, ctx.outcome ?? {execution: core.model.ExecutionState.Unknown});
		}
	}
}

function computeDigest(call: callModule.ServiceCall): string {
	return crypto.createHash('sha256')
		.update(JSON.stringify([call.service, call.method, call.path, call.contentType]))
		.update(call.body)
		.digest('hex');
}

async function forward(
	ctx: requestContext.RequestContext,
	call: callModule.ServiceCall,
	forwarder: Forwarder,
	issuer: forwardController.Issuer,
): Promise<void> {
	const result = await forwarder.forward(ctx, call, issuer);
	core.util.matchEither(
		result,
		refusal => {
			ctx.response.sendRefusal(refusal);
		},
		response => {
			ctx.response.sendBuffered(response);
		},
	);
}

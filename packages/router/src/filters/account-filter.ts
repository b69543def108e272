import * as core from '@bluebellmast/core';
import * as bearerKey from '../util/bearer-key.js';
import * as callModule from './call.js';
import * as findKind from './find-kind.js';
import type * as filter from './filter.js';
import type * as requestContext from './request-context.js';

/** Authenticates the client account by its bearer key, authorizes the model or service, and determines the request kind. */
export class AccountFilter implements filter.Filter {
	async handle(ctx: requestContext.RequestContext, next: filter.Next): Promise<void> {
		const account = findAccount(ctx.manifest, ctx.headers.authorization);
		if (account === undefined) {
			this.#sendRefusal(ctx, core.model.ErrorCode.Unauthenticated, 'no client account has this bearer key');
			return;
		}

		const target = getTarget(ctx.call);
		if (target !== undefined && account.allowed.length > 0 && !account.allowed.includes(target)) {
			this.#sendRefusal(ctx, core.model.ErrorCode.Forbidden, `the account may not use ${target}`);
			return;
		}

		const kind = findKind.findKind(ctx);
		if (kind === undefined) {
			this.#sendRefusal(ctx, core.model.ErrorCode.NotFound, `there is no ${target ?? 'kind'} of this name`);
			return;
		}

		ctx.account = account;
		ctx.kind = kind;
		await next();
	}

	#sendRefusal(ctx: requestContext.RequestContext, code: core.model.ErrorCode, message: string): void {
		ctx.response.sendRefusal(core.request.createRefusal(code, [], {message}));
	}
}

/** Returns the account that the bearer key in an `authorization` header belongs to. */
function findAccount(manifest: core.model.Manifest, authorization: string | undefined): core.model.ClientAccount | undefined {
	const hash = bearerKey.hashBearerKey(authorization);
	return hash && manifest.accounts.find(account => account.keyHashes.some(known => bearerKey.equalsKeyHash(hash, known)));
}

/** Returns the model or service that a call names, or `undefined` for a call that names none. */
function getTarget(call: callModule.Call): string | undefined {
	switch (call.type) {
		case callModule.CallType.Chat: {
			return call.model;
		}

		case callModule.CallType.Service: {
			return call.service;
		}

		case callModule.CallType.IssueKey: {
			return undefined;
		}
	}
}

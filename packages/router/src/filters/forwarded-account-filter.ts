import * as core from '@bluebellmast/core';
import * as findKind from './find-kind.js';
import type * as filter from './filter.js';
import type * as requestContext from './request-context.js';

/** Sets the account that the forwarding router has authenticated, and determines the request kind. */
export class ForwardedAccountFilter implements filter.Filter {
	readonly #account: core.model.AccountId;

	constructor(account: core.model.AccountId) {
		this.#account = account;
	}

	async handle(ctx: requestContext.RequestContext, next: filter.Next): Promise<void> {
		const account = ctx.manifest.accounts.find(candidate => candidate.id === this.#account);
		const kind = findKind.findKind(ctx);
		if (account === undefined || kind === undefined) {
			ctx.response.sendRefusal(core.request.createRefusal(core.model.ErrorCode.NotFound, [], {
				message: 'the account or the service is not known here',
			}));
			return;
		}

		ctx.account = account;
		ctx.kind = kind;
		await next();
	}
}

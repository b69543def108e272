import type * as core from '@bluebellmast/core';
import * as callModule from './call.js';
import type * as filter from './filter.js';
import type * as requestContext from './request-context.js';

const createdStatus = 201;

/** An issued key, as returned to the caller. */
export type IssuedKeyGrant = {
	readonly key: string;
	/** Time by which the key must be used for the first time, in milliseconds since the Unix epoch. */
	readonly expiresAt: number;
};

/** Issues idempotency keys. */
export interface KeyIssuer { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	issue(account: core.model.AccountId): IssuedKeyGrant;
}

/** Responds to requests for router-issued idempotency keys. */
export class IssueKeyFilter implements filter.Filter {
	readonly #issuer: KeyIssuer;

	constructor(issuer: KeyIssuer) {
		this.#issuer = issuer;
	}

	async handle(ctx: requestContext.RequestContext, next: filter.Next): Promise<void> {
		if (ctx.call.type === callModule.CallType.IssueKey) {
			ctx.response.sendJson(createdStatus, this.#issuer.issue(ctx.account!.id));
			return;
		}

		await next();
	}
}

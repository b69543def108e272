import * as core from '@bluebellmast/core';
import type * as clocks from '../util/clocks.js';
import type * as callContext from './call-context.js';
import type * as filter from './filter.js';
import * as refusals from './refusal.js';

/** Time after which a configuration that is being read again should be there, in milliseconds. */
const configRetryMs = 300;

/** Finds the client account that holds a request's API key. */
export class AccountFilter implements filter.CallFilter {
	constructor(
		private readonly state: core.routing.ConfigState,
		private readonly trust: core.routing.TrustTerms,
		private readonly clock: clocks.Clocks,
	) {}

	check(ctx: callContext.CallContext): refusals.Refusal | undefined {
		const {table, route, head} = ctx;
		if (table === undefined || route === undefined || !table.needsKey(route)) {
			return undefined;
		}

		const ageMs = this.state.ageMs(this.clock.wallSafeNow());
		ctx.account = head.apiKey === undefined ? undefined : table.findAccount(head.apiKey);
		if (ctx.account === undefined && core.routing.allowsNegativeAnswers(ageMs, this.trust)) {
			return {code: refusals.RefusalCode.UnknownKey};
		}

		return ctx.account === undefined || !core.routing.allowsKeyedRequests(ageMs, this.trust)
			? {code: refusals.RefusalCode.ConfigUnavailable, retryAfterMs: configRetryMs}
			: undefined;
	}
}

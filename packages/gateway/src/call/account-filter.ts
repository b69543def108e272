import * as core from '@bluebellmast/core';
import type * as clocks from '../util/clocks.js';
import type * as requestContext from './request-context.js';
import type * as requestFilter from './request-filter.js';
import * as refusals from './refusal.js';

/** Determines the client account to which the API key of a request belongs. */
export class AccountFilter implements requestFilter.RequestFilter {
	constructor(
		private readonly state: core.routing.ConfigState,
		private readonly limits: core.routing.ConfigAgeLimits,
		private readonly clock: clocks.Clocks,
	) {}

	check(ctx: requestContext.RequestContext): refusals.Refusal | undefined {
		const {table, route, head} = ctx;
		if (table === undefined || route === undefined || !table.needsKey(route)) {
			return undefined;
		}

		const now = this.clock.suspendAwareNow();
		const ageMs = this.state.ageMs(now);
		ctx.account = head.apiKey === undefined ? undefined : table.findAccount(head.apiKey);
		if (ctx.account === undefined && core.routing.allowsNegativeResponses(this.state.negativeAgeMs(now), this.limits)) {
			return {code: refusals.RefusalCode.UnknownKey, inputs: {config: table.config.version}};
		}

		return ctx.account === undefined || !core.routing.allowsKeyedRequests(ageMs, this.limits)
			? refusals.createConfigUnavailableRefusal(ageMs)
			: undefined;
	}
}

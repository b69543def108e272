import * as core from '@bluebellmast/core';
import type * as clocks from '../util/clocks.js';
import type * as callContext from './call-context.js';
import type * as filter from './filter.js';
import * as refusals from './refusal.js';

/** Finds the client account that holds a request's API key. */
export class AccountFilter implements filter.CallFilter {
	constructor(
		private readonly state: core.routing.ConfigState,
		private readonly trust: core.routing.ConfigAgeLimits,
		private readonly clock: clocks.Clocks,
	) {}

	check(ctx: callContext.CallContext): refusals.Refusal | undefined {
		const {table, route, head} = ctx;
		if (table === undefined || route === undefined || !table.needsKey(route)) {
			return undefined;
		}

		const ageMs = this.state.ageMs(this.clock.wallSafeNow());
		ctx.account = head.apiKey === undefined ? undefined : table.findAccount(head.apiKey);
		if (ctx.account === undefined && core.routing.allowsNegativeResponses(ageMs, this.trust)) {
			return {code: refusals.RefusalCode.UnknownKey, inputs: {config: table.config.version}};
		}

		return ctx.account === undefined || !core.routing.allowsKeyedRequests(ageMs, this.trust)
			? refusals.configUnavailable(ageMs)
			: undefined;
	}
}

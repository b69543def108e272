import * as core from '@bluebellmast/core';
import type * as clocks from '../util/clocks.js';
import type * as requestContext from './request-context.js';
import type * as requestFilter from './request-filter.js';
import * as refusals from './refusal.js';

/** Determines the route of a request. */
export class RouteFilter implements requestFilter.RequestFilter {
	constructor(
		private readonly state: core.routing.ConfigState,
		private readonly limits: core.routing.ConfigAgeLimits,
		private readonly clock: clocks.Clocks,
	) {}

	check(ctx: requestContext.RequestContext): refusals.Refusal | undefined {
		const {table} = this.state;
		if (table === undefined) {
			return refusals.createConfigUnavailableRefusal(Infinity);
		}

		ctx.table = table;
		ctx.route = table.findRoute(ctx.head.host, ctx.head.target);
		if (ctx.route !== undefined) {
			return undefined;
		}

		const ageMs = this.state.negativeAgeMs(this.clock.suspendAwareNow());
		return core.routing.allowsNegativeResponses(ageMs, this.limits)
			? {code: refusals.RefusalCode.UnknownRoute, inputs: {host: ctx.head.host, config: table.config.version}}
			: refusals.createConfigUnavailableRefusal(ageMs);
	}
}

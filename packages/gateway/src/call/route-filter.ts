import * as core from '@bluebellmast/core';
import type * as clocks from '../util/clocks.js';
import type * as callContext from './call-context.js';
import type * as filter from './filter.js';
import * as refusals from './refusal.js';

/** Finds the route of a request. */
export class RouteFilter implements filter.CallFilter {
	constructor(
		private readonly state: core.routing.ConfigState,
		private readonly trust: core.routing.ConfigAgeLimits,
		private readonly clock: clocks.Clocks,
	) {}

	check(ctx: callContext.CallContext): refusals.Refusal | undefined {
		const {table} = this.state;
		if (table === undefined) {
			return refusals.configUnavailable(Infinity);
		}

		ctx.table = table;
		ctx.route = table.findRoute(ctx.head.host, ctx.head.target);
		if (ctx.route !== undefined) {
			return undefined;
		}

		const ageMs = this.state.ageMs(this.clock.wallSafeNow());
		return core.routing.allowsNegativeResponses(ageMs, this.trust)
			? {code: refusals.RefusalCode.UnknownRoute, inputs: {host: ctx.head.host, config: table.config.version}}
			: refusals.configUnavailable(ageMs);
	}
}

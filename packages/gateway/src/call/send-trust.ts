import * as core from '@bluebellmast/core';
import type * as clocks from '../util/clocks.js';
import type * as callContext from './call-context.js';
import type * as callDispatcher from './call-dispatcher.js';

/** Checks at the moment of sending that the request's key still stands in a configuration that is fresh enough. */
export class SendTrust implements callDispatcher.CallTrust {
	constructor(
		private readonly state: core.routing.ConfigState,
		private readonly terms: core.routing.ConfigAgeLimits,
		private readonly clock: clocks.Clocks,
	) {}

	maySend(ctx: callContext.RoutedCall): boolean {
		if (ctx.account === undefined) {
			return true;
		}

		const key = ctx.head.apiKey;
		const holder = key === undefined ? undefined : this.state.table?.findAccount(key);
		return holder?.name === ctx.account.name
			&& core.routing.allowsKeyedRequests(this.state.ageMs(this.clock.wallSafeNow()), this.terms);
	}
}

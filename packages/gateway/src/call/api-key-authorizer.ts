import * as core from '@bluebellmast/core';
import type * as clocks from '../util/clocks.js';
import type * as requestContext from './request-context.js';
import type * as requestDispatcher from './request-dispatcher.js';

/** Permits a request to be sent only while its API key belongs to the same account in a sufficiently recent configuration. */
export class ApiKeyAuthorizer implements requestDispatcher.SendAuthorizer {
	constructor(
		private readonly state: core.routing.ConfigState,
		private readonly limits: core.routing.ConfigAgeLimits,
		private readonly clock: clocks.Clocks,
	) {}

	maySend(ctx: requestContext.RoutedRequest): boolean {
		if (ctx.account === undefined) {
			return true;
		}

		const key = ctx.head.apiKey;
		const holder = key === undefined ? undefined : this.state.table?.findAccount(key);
		return holder?.name === ctx.account.name
			&& core.routing.allowsKeyedRequests(this.state.ageMs(this.clock.suspendAwareNow()), this.limits);
	}
}

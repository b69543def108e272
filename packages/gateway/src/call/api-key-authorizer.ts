import * as core from '@bluebellmast/core';
import type * as clocks from '../util/clocks.js';
import type * as requestContext from './request-context.js';
import type * as requestDispatcher from './request-dispatcher.js';

/**
 * Permits a request to be sent only while the newest configuration allows it: its API key belongs to the same account in a sufficiently recent
 * configuration, or it was admitted without an account and still needs no key.
 */
export class ApiKeyAuthorizer implements requestDispatcher.SendAuthorizer {
	constructor(
		private readonly state: core.routing.ConfigState,
		private readonly limits: core.routing.ConfigAgeLimits,
		private readonly clock: clocks.Clocks,
	) {}

	maySend({account, head, route, table: admittedBy}: requestContext.RoutedRequest): boolean {
		const table = this.state.table ?? admittedBy;
		if (account === undefined) {
			// A route that was removed after the request had been admitted still serves it.
			return !table.needsKey(table.findRoute(head.host, head.target) ?? route);
		}

		const holder = head.apiKey === undefined ? undefined : table.findAccount(head.apiKey);
		return holder?.name === account.name
			&& core.routing.allowsKeyedRequests(this.state.ageMs(this.clock.suspendAwareNow()), this.limits);
	}
}

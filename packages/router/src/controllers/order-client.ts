import type * as core from '@bluebellmast/core';
import type * as wire from '@bluebellmast/wire';
import type * as connectionPools from '../endpoints/connection-pools.js';
import * as endpointOrigin from '../endpoints/endpoint-origin.js';

/** Reads what engines hold and gives them orders. */
export interface OrderClient { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Returns what an engine holds, or `undefined` when it does not answer in time. */
	holdings(endpoint: core.model.Endpoint): Promise<wire.endpoint.EngineHoldings | undefined>;
	/** Sends an order; `undefined` when there is no answer in time, and the order may have been taken. */
	order(endpoint: core.model.Endpoint, order: wire.endpoint.EngineOrder): Promise<wire.endpoint.EngineOrderResponse | undefined>;
}

/** Speaks to engines over HTTP. */
export class HttpOrderClient implements OrderClient {
	/** @param timeoutMs - Longest time that a call is under way. */
	constructor(private readonly pools: Pick<connectionPools.ConnectionPools, 'singleUse'>, private readonly timeoutMs = 1500) {}

	async holdings(endpoint: core.model.Endpoint): Promise<wire.endpoint.EngineHoldings | undefined> {
		return this.call<wire.endpoint.EngineHoldings>(endpoint, 'GET', '/v1/holdings');
	}

	async order(
		endpoint: core.model.Endpoint,
		order: wire.endpoint.EngineOrder,
	): Promise<wire.endpoint.EngineOrderResponse | undefined> {
		return this.call<wire.endpoint.EngineOrderResponse>(endpoint, 'POST', '/v1/orders', order);
	}

	private async call<Answer>(
		endpoint: core.model.Endpoint,
		method: 'GET' | 'POST',
		path: string,
		body?: unknown,
	): Promise<Answer | undefined> {
		try {
			const res = await this.pools.singleUse().request({
				origin: endpointOrigin.endpointOrigin(endpoint),
				path,
				method,
				signal: AbortSignal.timeout(this.timeoutMs),
				...(body !== undefined && {headers: {'content-type': 'application/json'}, body: JSON.stringify(body)}),
			});
			return await res.body.json() as Answer;
		} catch {
			return undefined;
		}
	}
}

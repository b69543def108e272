import type * as core from '@bluebellmast/core';
import type * as wire from '@bluebellmast/wire';
import type * as connectionPools from '../endpoints/connection-pools.js';
import * as endpointUrl from '../endpoints/endpoint-url.js';

/** Reads what engines hold and gives them orders. */
export interface OrderClient { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Returns what an engine holds, or `undefined` when it does not answer in time. */
	readHoldings(endpoint: core.model.Endpoint): Promise<wire.endpoint.EngineHoldings | undefined>;
	/** Sends an order; `undefined` when there is no answer in time, and the order may have been taken. */
	sendOrder(endpoint: core.model.Endpoint, order: wire.endpoint.EngineOrder): Promise<wire.endpoint.EngineOrderResponse | undefined>;
}

/** Speaks to engines over HTTP. */
export class HttpOrderClient implements OrderClient {
	/** @param timeoutMs - Longest time that a call is under way. */
	constructor(private readonly pools: Pick<connectionPools.ConnectionPools, 'fresh'>, private readonly timeoutMs = 1500) {}

	async readHoldings(endpoint: core.model.Endpoint): Promise<wire.endpoint.EngineHoldings | undefined> {
		return this.sendRequest<wire.endpoint.EngineHoldings>(endpoint, 'GET', '/v1/holdings');
	}

	async sendOrder(
		endpoint: core.model.Endpoint,
		order: wire.endpoint.EngineOrder,
	): Promise<wire.endpoint.EngineOrderResponse | undefined> {
		return this.sendRequest<wire.endpoint.EngineOrderResponse>(endpoint, 'POST', '/v1/orders', order);
	}

	private async sendRequest<ResponseBody>(
		endpoint: core.model.Endpoint,
		method: 'GET' | 'POST',
		path: string,
		body?: unknown,
	): Promise<ResponseBody | undefined> {
		try {
			const res = await this.pools.fresh().request({
				origin: endpointUrl.endpointOrigin(endpoint),
				path,
				method,
				signal: AbortSignal.timeout(this.timeoutMs),
				...(body !== undefined && {headers: {'content-type': 'application/json'}, body: JSON.stringify(body)}),
			});
			return await res.body.json() as ResponseBody;
		} catch {
			return undefined;
		}
	}
}

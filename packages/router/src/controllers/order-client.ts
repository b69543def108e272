import type * as core from '@bluebellmast/core';
import * as clients from '@bluebellmast/kv';
import type * as wire from '@bluebellmast/wire';
import type * as connectionPools from '../endpoints/connection-pools.js';
import * as endpointOrigin from '../endpoints/endpoint-origin.js';

/** Reads the holdings of engines and sends them orders. */
export interface OrderClient { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Returns the weights, role and fencing token of an engine, or `undefined` if it does not respond in time or responds with an error. */
	readHoldings(endpoint: core.model.Endpoint): Promise<wire.endpoint.EngineHoldings | undefined>;
	/** Sends an order. Returns `undefined` if there is no response in time or an error; the engine may still have accepted the order. */
	sendOrder(endpoint: core.model.Endpoint, order: wire.endpoint.EngineOrder): Promise<wire.endpoint.EngineOrderResponse | undefined>;
}

const firstErrorStatus = 300;

/** Order client over HTTP. */
export class HttpOrderClient implements OrderClient {
	/** @param timeoutMs - Timeout of each call in milliseconds. */
	constructor(private readonly pools: Pick<connectionPools.ConnectionPools, 'singleUse'>, private readonly timeoutMs = 1500) {}

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
		const deadline = new clients.timeouts.CallDeadline(this.timeoutMs);
		try {
			const res = await this.pools.singleUse().request({
				origin: endpointOrigin.endpointOrigin(endpoint),
				path,
				method,
				signal: deadline.signal,
				...(body !== undefined && {headers: {'content-type': 'application/json'}, body: JSON.stringify(body)}),
			});
			if (res.statusCode >= firstErrorStatus) {
				await res.body.dump();
				return undefined;
			}

			return await res.body.json() as ResponseBody;
		} catch {
			return undefined;
		} finally {
			deadline.clear();
		}
	}
}

import type * as core from '@bluebellmast/core';
import type * as wire from '@bluebellmast/wire';
import * as zod from 'zod';
import type * as connectionPools from './connection-pools.js';
import * as endpointUrl from './endpoint-url.js';

const defaultTimeoutMs = 1000;

const count = zod.number().min(0);

const reportSchema = zod.object({
	incarnation: zod.string().min(1),
	sequence: zod.number(),
	running: count,
	queued: count,
	queuedTokens: count.default(0),
	cachedTokens: count.default(0),
	cacheLimitTokens: count.default(0),
	weights: zod.array(zod.string()).default([]),
	leaving: zod.boolean().default(false),
});

/** Reads load reports. */
export class LoadClient {
	readonly #pools: connectionPools.ConnectionPools;
	readonly #timeoutMs: number;

	/** @param timeoutMs - Longest time of a read. Default 1000. */
	constructor(pools: connectionPools.ConnectionPools, timeoutMs = defaultTimeoutMs) {
		this.#pools = pools;
		this.#timeoutMs = timeoutMs;
	}

	/** Returns the load of an endpoint, or `undefined` when it gives no well-formed report in time. */
	async read(endpoint: core.model.Endpoint): Promise<wire.endpoint.LoadReport | undefined> {
		try {
			const res = await this.#pools.reused().request({
				origin: endpointUrl.endpointOrigin(endpoint),
				path: '/v1/load',
				method: 'GET',
				signal: AbortSignal.timeout(this.#timeoutMs),
			});
			const parsed = reportSchema.safeParse(await res.body.json());
			return parsed.success ? parsed.data : undefined;
		} catch {
			return undefined;
		}
	}
}

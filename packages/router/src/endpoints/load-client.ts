import type * as core from '@bluebellmast/core';
import * as clients from '@bluebellmast/kv';
import type * as wire from '@bluebellmast/wire';
import * as zod from 'zod';
import type * as connectionPools from './connection-pools.js';
import * as endpointOrigin from './endpoint-origin.js';

const defaultTimeoutMs = 1000;

const countSchema = zod.number().min(0);

const loadReportSchema = zod.object({
	incarnation: zod.string().min(1),
	sequence: zod.number(),
	running: countSchema,
	queued: countSchema,
	queuedTokens: countSchema.default(0),
	cachedTokens: countSchema.default(0),
	cacheLimitTokens: countSchema.default(0),
	weights: zod.array(zod.string()).default([]),
	leaving: zod.boolean().default(false),
});

/** Reads load reports of endpoints over HTTP. */
export class LoadClient {
	readonly #pools: connectionPools.ConnectionPools;
	readonly #timeoutMs: number;

	/** @param timeoutMs - Time limit of a read, in milliseconds. Default 1,000. */
	constructor(pools: connectionPools.ConnectionPools, timeoutMs = defaultTimeoutMs) {
		this.#pools = pools;
		this.#timeoutMs = timeoutMs;
	}

	/** Returns the load report of an endpoint, or `undefined` if no valid report arrives within the time limit. */
	async read(endpoint: core.model.Endpoint): Promise<wire.endpoint.LoadReport | undefined> {
		const deadline = new clients.timeouts.CallDeadline(this.#timeoutMs);
		try {
			const res = await this.#pools.keepAlive().request({
				origin: endpointOrigin.endpointOrigin(endpoint),
				path: '/v1/load',
				method: 'GET',
				signal: deadline.signal,
			});
			const parsed = loadReportSchema.safeParse(await res.body.json());
			return parsed.success ? parsed.data : undefined;
		} catch {
			return undefined;
		} finally {
			deadline.clear();
		}
	}
}

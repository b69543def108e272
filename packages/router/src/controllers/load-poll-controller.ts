import type * as core from '@bluebellmast/core';
import type * as wire from '@bluebellmast/wire';
import type * as connectionPools from '../endpoints/connection-pools.js';
import * as endpointUrl from '../endpoints/endpoint-url.js';
import type * as clock from '../util/clock.js';
import type * as controller from './controller.js';

const pollIntervalMs = 250;
const pollTimeoutMs = 1000;

/** What the load poll works with. */
export type LoadPollOptions = {
	readonly manifest: () => core.model.Manifest | undefined;
	readonly pools: connectionPools.ConnectionPools;
	readonly clock: clock.Clock;
	readonly onReport: (endpoint: core.model.Endpoint, report: wire.endpoint.LoadReport) => void;
};

/** Asks each endpoint for its load. */
export class LoadPollController implements controller.Controller {
	readonly #options: LoadPollOptions;
	#timer: NodeJS.Timeout | undefined;
	#hasPolled = false;

	constructor(options: LoadPollOptions) {
		this.#options = options;
	}

	/** Whether each endpoint of a manifest was asked at least once. */
	get hasPolled(): boolean {
		return this.#hasPolled;
	}

	async start(): Promise<void> {
		await this.pollAll();
		this.#timer = setInterval(() => {
			void this.pollAll();
		}, pollIntervalMs);
	}

	async stop(): Promise<void> {
		clearInterval(this.#timer);
	}

	/** Asks all endpoints of the manifest at once. */
	async pollAll(): Promise<void> {
		const manifest = this.#options.manifest();
		if (manifest === undefined) {
			return;
		}

		await Promise.all(manifest.endpoints.map(async endpoint => this.#poll(endpoint)));
		this.#hasPolled = true;
	}

	async #poll(endpoint: core.model.Endpoint): Promise<void> {
		try {
			const res = await this.#options.pools.reused().request({
				origin: endpointUrl.endpointOrigin(endpoint),
				path: '/v1/load',
				method: 'GET',
				signal: AbortSignal.timeout(pollTimeoutMs),
			});
			this.#options.onReport(endpoint, await res.body.json() as wire.endpoint.LoadReport);
		} catch {
			// No report: the last one grows old.
		}
	}
}

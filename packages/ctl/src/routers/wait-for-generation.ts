import type * as core from '@bluebellmast/core';
import type * as context from '../cli/context.js';
import type * as routerClient from './router-client.js';

/** Last known state of a router that is waited for. */
export type RouterWaitStatus = {
	readonly url: string;
	/** Whether the router has confirmed the generation, or a newer one. */
	readonly confirmed: boolean;
	/** State or error as text. */
	readonly detail: string;
};

/** Options of `waitForGeneration`. */
export type WaitOptions = {
	readonly generation: core.model.Generation;
	readonly timeoutMs: number;
	/** Interval of polling each router. */
	readonly pollMs: number;
};

/** Polls all routers until each has confirmed the generation or a newer one, or the timeout has passed. */
export async function waitForGeneration(
	routers: readonly routerClient.RouterClient[],
	options: WaitOptions,
	ctx: context.CommandContext,
): Promise<readonly RouterWaitStatus[]> {
	const deadline = ctx.now() + options.timeoutMs;
	return Promise.all(routers.map(async router => waitForRouter(router, options, deadline, ctx)));
}

async function waitForRouter(
	router: routerClient.RouterClient,
	options: WaitOptions,
	deadline: number,
	ctx: context.CommandContext,
): Promise<RouterWaitStatus> {
	for (;;) {
		const progress = await pollRouter(router, options.generation); // eslint-disable-line no-await-in-loop -- Polling is sequential.
		if (progress.confirmed || ctx.now() >= deadline) {
			return progress;
		}

		await ctx.sleep(options.pollMs); // eslint-disable-line no-await-in-loop
	}
}

async function pollRouter(router: routerClient.RouterClient, generation: core.model.Generation): Promise<RouterWaitStatus> {
	const {url} = router;
	const result = await router.status();
	return result
		.map(status => ({
			url,
			confirmed: status.confirmed && status.generation >= generation,
			detail: `${status.vm} at generation ${status.generation}, ${status.confirmed ? 'confirmed' : 'not confirmed'}`,
		}))
		.mapLeft(reason => ({url, confirmed: false, detail: `no response: ${reason}`}))
		.extract();
}

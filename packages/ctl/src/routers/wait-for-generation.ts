import type * as core from '@bluebellmast/core';
import type * as context from '../cli/context.js';
import type * as routerClient from './router-client.js';

/** What a router last told while it was waited for. */
export type RouterWaitStatus = {
	readonly url: string;
	readonly confirmed: boolean;
	/** Text for a person. */
	readonly detail: string;
};

/** How long and how often routers are asked. */
export type WaitOptions = {
	readonly generation: core.model.Generation;
	readonly timeoutMs: number;
	readonly pollMs: number;
};

/** Asks all routers until each has confirmed the generation or a newer one, or the time is up. */
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
		const progress = await pollRouter(router, options.generation); // eslint-disable-line no-await-in-loop -- Polls.
		if (progress.confirmed || ctx.now() >= deadline) {
			return progress;
		}

		await ctx.sleep(options.pollMs); // eslint-disable-line no-await-in-loop
	}
}

async function pollRouter(router: routerClient.RouterClient, generation: core.model.Generation): Promise<RouterWaitStatus> {
	const {url} = router;
	const answer = await router.status();
	return answer
		.map(status => ({
			url,
			confirmed: status.confirmed && status.generation >= generation,
			detail: `${status.vm} at generation ${status.generation}, ${status.confirmed ? 'confirmed' : 'not confirmed'}`,
		}))
		.mapLeft(reason => ({url, confirmed: false, detail: `no answer: ${reason}`}))
		.extract();
}

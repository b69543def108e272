import * as core from '@bluebellmast/core';
import * as callModule from './call.js';
import type * as filter from './filter.js';
import type * as requestContext from './request-context.js';

/** Splits the prompt of a chat call into pieces with chained hashes, by which cached prefixes are found. */
export class PrefixFilter implements filter.Filter {
	readonly #options: core.cache.PrefixOptions;

	constructor(options: core.cache.PrefixOptions) {
		this.#options = options;
	}

	async handle(ctx: requestContext.RequestContext, next: filter.Next): Promise<void> {
		const {call} = ctx;
		if (call.type === callModule.CallType.Chat) {
			const scope = {
				account: ctx.account!.id,
				model: call.model,
				...(call.adapter !== undefined && {adapter: call.adapter}),
			};
			ctx.prompt = core.cache.splitPrompt(scope, call.messages, this.#options);
		}

		await next();
	}
}

import type * as filter from './filter.js';
import type * as requestContext from './request-context.js';

/** Runs filters in order. */
export class FilterChain {
	readonly #filters: readonly filter.Filter[];

	constructor(filters: readonly filter.Filter[]) {
		this.#filters = filters;
	}

	/** Passes a request through the filters until one of them responds to it. */
	async run(ctx: requestContext.RequestContext): Promise<void> {
		await this.#runFrom(ctx, 0);
	}

	async #runFrom(ctx: requestContext.RequestContext, index: number): Promise<void> {
		const current = this.#filters[index];
		if (current === undefined) {
			return;
		}

		await current.handle(ctx, async () => this.#runFrom(ctx, index + 1));
	}
}

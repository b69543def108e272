import type * as admission from './admission.js';
import type * as filter from './filter.js';
import type * as requestContext from './request-context.js';

/** Options of the limits filter. */
export type LimitsFilterOptions = {
	readonly admission: admission.Admission;
	readonly usage: admission.UsageCounter;
};

/** Enforces the limits of each client account and the capacity limits of the system. */
export class LimitsFilter implements filter.Filter {
	readonly #options: LimitsFilterOptions;

	constructor(options: LimitsFilterOptions) {
		this.#options = options;
	}

	async handle(ctx: requestContext.RequestContext, next: filter.Next): Promise<void> {
		const admitted = await this.#options.admission.admit(ctx);
		if (admitted.isLeft()) {
			ctx.response.sendRefusal(admitted.extract());
			return;
		}

		const release = admitted.unsafeCoerce();
		ctx.recordResponseStart = () => {
			this.#options.admission.recordResponseStart(ctx.id);
		};

		try {
			await next();
		} finally {
			release();
			this.#countTokens(ctx);
		}
	}

	#countTokens(ctx: requestContext.RequestContext): void {
		if (ctx.usage !== undefined) {
			const {prompt_tokens: prompt, completion_tokens: generated} = ctx.usage;
			this.#options.usage.count(ctx.account!, 0, prompt + generated);
		}
	}
}

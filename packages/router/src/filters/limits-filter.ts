import type * as admission from './admission.js';
import type * as filter from './filter.js';
import type * as requestContext from './request-context.js';

/** Holds each client account to its limits and the system to its capacity. */
export class LimitsFilter implements filter.Filter {
	readonly #admission: admission.Admission;

	constructor(rules: admission.Admission) {
		this.#admission = rules;
	}

	async handle(ctx: requestContext.RequestContext, next: filter.Next): Promise<void> {
		const admitted = await this.#admission.admit(ctx);
		if (admitted.isLeft()) {
			ctx.answer.sendRefusal(admitted.extract());
			return;
		}

		const release = admitted.unsafeCoerce();
		try {
			await next();
		} finally {
			release();
		}
	}
}

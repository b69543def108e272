import * as core from '@bluebellmast/core';
import type * as clocks from '../util/clocks.js';
import * as quotaPermit from './quota-permit.js';
import type * as refusals from './refusal.js';
import type * as requestContext from './request-context.js';
import type * as requestFilter from './request-filter.js';

const hashRange = 2 ** 32;

/** Refuses requests beyond the quota of their account, before their bodies are read. */
export class QuotaFilter implements requestFilter.RequestFilter {
	readonly #maxGrantAgeMs: number;

	constructor(
		private readonly quotas: quotaPermit.QuotaSource,
		private readonly clock: clocks.Clocks,
		bounds: core.quota.QuotaBounds,
	) {
		this.#maxGrantAgeMs = core.quota.computeMaxGrantAgeMs(bounds);
	}

	check(ctx: requestContext.RequestContext): Promise<refusals.Refusal | undefined> | undefined {
		const {account, head, res} = ctx;
		if (account?.quota === undefined) {
			return undefined;
		}

		const permit = new quotaPermit.QuotaPermit({
			account: account.name,
			units: core.quota.countUnits(account.quota, head.statedTokens),
			sample: core.util.hash32(head.requestId) / hashRange,
			quotas: this.quotas,
			clock: this.clock,
			maxGrantAgeMs: this.#maxGrantAgeMs,
		});
		ctx.quotaPermit = permit;
		res.once('close', () => {
			permit.release();
		});
		return permit.acquire();
	}
}

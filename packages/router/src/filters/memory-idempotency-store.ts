import * as core from '@bluebellmast/core';
import * as purify from 'purify-ts';
import type * as idempotencyStore from './idempotency-store.js';
import type * as requestContext from './request-context.js';

/** Remembers intents in this process alone. */
export class MemoryIdempotencyStore implements idempotencyStore.IdempotencyStore {
	readonly #outcomes = new Map<string, requestContext.RequestOutcome | undefined>();

	async begin(intent: idempotencyStore.Intent): Promise<idempotencyStore.IntentVerdict> {
		const key = `${intent.account} ${intent.key}`;
		if (!this.#outcomes.has(key)) {
			this.#outcomes.set(key, undefined);
			return purify.Right(undefined);
		}

		const outcome = this.#outcomes.get(key);
		return outcome?.answer === undefined
			? purify.Left(core.request.createRefusal(core.model.ErrorCode.InProgress, [], {
				message: 'a request with this idempotency key is under way', prior: core.request.PriorRun.Possible,
			}))
			: purify.Right(outcome.answer);
	}

	finish(intent: idempotencyStore.Intent, outcome: requestContext.RequestOutcome): void {
		this.#outcomes.set(`${intent.account} ${intent.key}`, outcome);
	}
}

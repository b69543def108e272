import * as core from '@bluebellmast/core';
import * as purify from 'purify-ts';
import type * as idempotencyStore from '../filters/idempotency-store.js';
import type * as requestContext from '../filters/request-context.js';
import * as ledgerBeginVerdict from './ledger-begin-verdict.js';
import type * as ledgerFacade from './ledger-facade.js';

const resultByExecution = {
	[core.model.ExecutionState.Done]: core.ledger.AttemptResult.ResponseComplete,
	[core.model.ExecutionState.NotRun]: core.ledger.AttemptResult.RefusedBeforeExecution,
	[core.model.ExecutionState.Unknown]: core.ledger.AttemptResult.ResponseLost,
} as const;

/**
 * Implements the store of the idempotency filter with the ledger and the issued keys. The permission to send is claimed together
 * with the verdict, so a request that may run only needs to be settled with its outcome. The filter forwards requests whose key
 * another router issued before it calls this store.
 */
export class LedgerIdempotencyStore implements idempotencyStore.IdempotencyStore {
	readonly #ledger: ledgerFacade.LedgerFacade;

	constructor(ledger: ledgerFacade.LedgerFacade) {
		this.#ledger = ledger;
	}

	async begin(intent: idempotencyStore.Intent): Promise<idempotencyStore.IntentVerdict> {
		const verdict = await this.#ledger.begin(intent);
		switch (verdict.type) {
			case ledgerBeginVerdict.BeginVerdictType.Proceed: {
				return this.#claimSend(verdict.attempt);
			}

			case ledgerBeginVerdict.BeginVerdictType.Replay: {
				const {status, contentType = 'application/octet-stream', body = new Uint8Array()} = verdict.outcome;
				return purify.Right({status, contentType, body});
			}

			case ledgerBeginVerdict.BeginVerdictType.Forward: {
				return purify.Left(core.ledger.createVerdictRefusal(core.ledger.VerdictType.IssuerUnreachable));
			}

			case ledgerBeginVerdict.BeginVerdictType.Refuse: {
				return purify.Left(verdict.refusal);
			}
		}
	}

	finish(intent: idempotencyStore.Intent, outcome: requestContext.RequestOutcome): void {
		const {execution, response} = outcome;
		this.#ledger.settle(intent.attempt, resultByExecution[execution], response);
	}

	#claimSend(attempt: core.model.AttemptId): idempotencyStore.IntentVerdict {
		if (this.#ledger.claimSend(attempt)) {
			return purify.Right(undefined);
		}

		this.#ledger.settle(attempt, core.ledger.AttemptResult.NeverSent);
		return purify.Left(core.ledger.createVerdictRefusal(core.ledger.VerdictType.Withdrawn));
	}
}

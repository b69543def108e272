import * as core from '@bluebellmast/core';
import type * as ledgerBeginVerdict from './ledger-begin-verdict.js';
import type * as ledgerController from './ledger-controller.js';
import type * as issuedKeyController from './issued-key-controller.js';

/** Single interface for requests that must not be repeated: router-issued keys are decided in memory, all others by the ledger. */
export class LedgerFacade {
	readonly #ledger: ledgerController.LedgerController;
	readonly #issuedKeys: issuedKeyController.IssuedKeyController;

	constructor(ledger: ledgerController.LedgerController, issuedKeys: issuedKeyController.IssuedKeyController) {
		this.#ledger = ledger;
		this.#issuedKeys = issuedKeys;
	}

	/** Sets the live routers. */
	setMembers(members: readonly core.ledger.LedgerMember[]): void {
		this.#ledger.setMembers(members);
		this.#issuedKeys.setMembers(members);
	}

	/** Decides whether a request may run; called before it is sent. */
	async begin(req: ledgerBeginVerdict.BeginRequest): Promise<ledgerBeginVerdict.BeginVerdict> {
		const key = core.ledger.parseIssuedKey(req.key);
		return key === undefined ? this.#ledger.begin(req) : this.#issuedKeys.begin(req, key);
	}

	/** Claims the single permission to send; called right before the first byte is sent. If false, nothing may be sent. */
	claimSend(attempt: core.model.AttemptId): boolean {
		return this.#issuedKeys.ownsAttempt(attempt) ? this.#issuedKeys.claimSend(attempt) : this.#ledger.claimSend(attempt);
	}

	/** Records the result of an attempt that got the verdict `proceed`; called once. */
	settle(
		attempt: core.model.AttemptId,
		result: core.ledger.AttemptResult,
		outcome?: core.ledger.RecordedOutcome,
	): void {
		if (this.#issuedKeys.ownsAttempt(attempt)) {
			this.#issuedKeys.settle(attempt, result, outcome);
		} else {
			this.#ledger.settle(attempt, result, outcome);
		}
	}
}

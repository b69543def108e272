import * as core from '@bluebellmast/core';
import type * as ledgerBeginVerdict from './ledger-begin-verdict.js';
import type * as ledgerController from './ledger-controller.js';
import type * as ledgerIssuedKeys from './ledger-issued-keys.js';

/** The way in for requests that may not be repeated: issued keys go to the router's memory, all others to the ledger. */
export class LedgerGate {
	readonly #ledger: ledgerController.LedgerController;
	readonly #issuedKeys: ledgerIssuedKeys.IssuedKeyController;

	constructor(ledger: ledgerController.LedgerController, issuedKeys: ledgerIssuedKeys.IssuedKeyController) {
		this.#ledger = ledger;
		this.#issuedKeys = issuedKeys;
	}

	/** Sets the live routers. */
	setMembers(members: readonly core.ledger.LedgerMember[]): void {
		this.#ledger.setMembers(members);
		this.#issuedKeys.setMembers(members);
	}

	/** Decides about a request before any attempt. */
	async begin(req: ledgerBeginVerdict.BeginRequest): Promise<ledgerBeginVerdict.BeginVerdict> {
		const key = core.ledger.parseIssuedKey(req.key);
		return key === undefined ? this.#ledger.begin(req) : this.#issuedKeys.begin(req, key);
	}

	/** Takes the one permission to send; asked right before the first byte. When false, nothing may be sent. */
	claimSend(attempt: core.model.AttemptId): boolean {
		return this.#issuedKeys.owns(attempt) ? this.#issuedKeys.claimSend(attempt) : this.#ledger.claimSend(attempt);
	}

	/** Records how an attempt that was given `proceed` came out; called once. */
	settle(
		attempt: core.model.AttemptId,
		result: core.ledger.AttemptResult,
		outcome?: core.ledger.RecordedOutcome,
	): void {
		if (this.#issuedKeys.owns(attempt)) {
			this.#issuedKeys.settle(attempt, result, outcome);
		} else {
			this.#ledger.settle(attempt, result, outcome);
		}
	}
}

import type * as core from '@bluebellmast/core';
import * as prometheus from 'prom-client';

/** Accounts with a label of their own; the others share one. */
const maxAccountLabels = 100;
const otherAccounts = 'others';

/** Counts the decisions on requests of accounts with a quota. */
export class QuotaMetrics {
	readonly #requests: prometheus.Counter;
	readonly #units: prometheus.Counter;
	readonly #accounts = new Set<string>();

	constructor(registry: prometheus.Registry) {
		const labelNames = ['account', 'outcome'];
		const registers = [registry];
		this.#requests = new prometheus.Counter({
			name: 'bluebellmast_quota_requests_total', help: 'Attempts of accounts with a quota, by decision.', labelNames, registers,
		});
		this.#units = new prometheus.Counter({
			name: 'bluebellmast_quota_units_total', help: 'Units of attempts of accounts with a quota, by decision.', labelNames, registers,
		});
	}

	recordDecision(account: string, units: number, outcome: core.quota.QuotaOutcome): void {
		const labels = {account: this.#getLabel(account), outcome};
		this.#requests.inc(labels);
		this.#units.inc(labels, units);
	}

	#getLabel(account: string): string {
		if (this.#accounts.size < maxAccountLabels) {
			this.#accounts.add(account);
		}

		return this.#accounts.has(account) ? account : otherAccounts;
	}
}

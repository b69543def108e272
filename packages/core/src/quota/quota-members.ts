import type * as quotaAgentOptions from './quota-agent-options.js';
import * as quotaPartitions from './quota-partitions.js';

/** The VMs that share the quotas, and this VM's own share. */
export class QuotaMembers {
	#vms: readonly string[] = [];
	#names: ReadonlySet<string> = new Set();
	#ranks = quotaPartitions.rankKeepers([]);
	/** When this VM was first listed; absent while it is not. */
	#listedSince: number | undefined;
	/** Whether the first list of VMs named this one; absent before it is known. */
	#wasListedAtStart: boolean | undefined;

	constructor(private readonly options: Pick<quotaAgentOptions.QuotaAgentOptions, 'vm' | 'startedAt'>, private readonly times: quotaAgentOptions.QuotaTimes) {}

	/** Names of all listed VMs. */
	get names(): ReadonlySet<string> {
		return this.#names;
	}

	/** Number of VMs that can be keepers. */
	get count(): number {
		return Math.max(1, this.#vms.length);
	}

	/** Interval at which loans are renewed, in milliseconds. */
	get renewalMs(): number {
		return Math.max(this.times.minRenewalMs, this.#vms.length * this.times.renewalMsPerVm);
	}

	/** Duration of a loan, in milliseconds. */
	get loanMs(): number {
		return this.renewalMs * this.times.loanFactor;
	}

	/** Sets the listed VMs, which include this one once the others count it. @returns Whether they have changed. */
	set(vms: readonly string[], now: number): boolean {
		if (vms === this.#vms) {
			return false;
		}

		const {vm} = this.options;
		this.#vms = vms;
		this.#names = new Set(vms);
		const isListed = this.#names.has(vm);
		this.#ranks = quotaPartitions.rankKeepers(vms);
		this.#listedSince = isListed ? this.#listedSince ?? now : undefined;
		this.#wasListedAtStart ??= isListed || vms.length > 0 ? isListed : undefined;
		return true;
	}

	/** Returns the listed VMs in the order in which they keep a partition. */
	listKeepers(partition: number): readonly string[] {
		return this.#ranks.get(partition) ?? [];
	}

	/** Returns this VM's share of each quota; 0 while others may not count it yet, or loans of an earlier process of this VM may last. */
	computeShare(now: number): number {
		if (this.#listedSince === undefined) {
			return 0;
		}

		const countedAt = this.#wasListedAtStart ? this.options.startedAt + this.loanMs : this.#listedSince + this.times.startDelayMs;
		return now >= countedAt ? 1 / this.#vms.length : 0;
	}
}

import type * as quota from './quota.js';

/** Times of the traffic between VMs and keepers, in milliseconds. */
export type QuotaTimes = {
	/** Interval at which a loan is renewed. */
	readonly minRenewalMs: number;
	/** The same for each VM of the fleet, so that a keeper gets a bounded number of renewals a second. */
	readonly renewalMsPerVm: number;
	/** Duration of a loan, relative to the interval of its renewals. */
	readonly loanFactor: number;
	/** Time without a reply after which a call is sent again. */
	readonly resendMs: number;
	/** Time after which an ask has failed. */
	readonly askTimeoutMs: number;
	/** Time for which a VM lends nothing after the others began to count it; one that was listed before its start waits only for the end of its earlier loans. */
	readonly startDelayMs: number;
	/** Interval of the calls to a suspected VM. */
	readonly probeMs: number;
};

/** Two lost renewals end no loan. */
export const defaultQuotaTimes: QuotaTimes = {
	minRenewalMs: 600, renewalMsPerVm: 5, loanFactor: 2.5, resendMs: 100, askTimeoutMs: 600, startDelayMs: 2000, probeMs: 1000,
};

/** Options of a `QuotaAgent`. */
export type QuotaAgentOptions = {
	readonly vm: string;
	/** Identifies this process among all that run on the VM. */
	readonly incarnation: string;
	/** When the process started. */
	readonly startedAt: number;
	readonly bounds: quota.QuotaBounds;
	readonly findQuota: (account: string) => quota.AccountQuota | undefined;
	/** Whether accounts without a known quota are admitted: the configuration of this VM is recent. */
	readonly admitsUnknown: () => boolean;
	/** Called when a VM is suspected to be unreachable, and when it responds again. */
	readonly onPeerChange?: (vm: string, isResponsive: boolean) => void;
	readonly times?: QuotaTimes;
};

/** A reading of the clock of one process. */
export type ClockReading = {
	/** Identifies the process among all that have run on the VM. */
	readonly incarnation: string;
	/** Milliseconds of its clock that includes suspensions. */
	readonly at: number;
};

/** Asks for the units of one attempt of a request. */
export type QuotaAsk = {
	/** Unique among the asks of the VM. */
	readonly id: number;
	readonly account: string;
	readonly units: number;
};

/** Units of a grant that was not used. */
export type ReturnedUnits = {
	readonly account: string;
	readonly units: number;
};

/** The shares that a VM lends. */
export type ShareLoan = {
	/** Partitions of the accounts whose shares are lent. */
	readonly partitions: readonly number[];
	/** Part of each account's quota. */
	readonly share: number;
	/** Duration from the keeper's clock reading on which the call is based, in milliseconds. */
	readonly durationMs: number;
};

/** Sorts of messages between VMs and keepers. */
export enum QuotaMessageType {
	Call = 1,
	Reply = 2,
}

/** A message of a VM to the keeper of some accounts. */
export type QuotaCall = {
	readonly vm: string;
	/** Latest clock reading that the keeper has sent; absent before the first one. */
	readonly basedOn?: ClockReading;
	/** Absent if the VM lends nothing to this keeper. */
	readonly loan?: ShareLoan;
	readonly asks: readonly QuotaAsk[];
	readonly returned: readonly ReturnedUnits[];
};

/** Result of an ask: a grant, or why there is none. */
export enum QuotaOutcome {
	Granted = 'granted',
	/** The account has used its quota. */
	Exceeded = 'exceeded',
	/** The request needs more units than the quota ever allows at once. */
	TooLarge = 'too_large',
	/** No keeper responded. */
	Unavailable = 'unavailable',
}

/** Decision on an ask. */
export type QuotaDecision = {
	readonly outcome: QuotaOutcome;
	/** Milliseconds until the request would fit; 0 for a grant, `Infinity` if it never does. */
	readonly retryAfterMs: number;
	/** Units that the account had at the keeper. */
	readonly availableUnits: number;
	/** Part of the account's quota that the keeper held. */
	readonly heldShare: number;
	/** Units that the account was granted in the last seconds, relative to its quota. */
	readonly usage: number;
};

/** Response of a keeper to a {@link QuotaCall}. */
export type QuotaReply = {
	readonly vm: string;
	readonly clock: ClockReading;
	/** Whether the keeper takes loans; if it doesn't, it uses none of the VM's earlier ones any more. */
	readonly takesLoans: boolean;
	readonly decisions: ReadonlyArray<{readonly id: number; readonly decision: QuotaDecision}>;
};

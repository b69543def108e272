/** Why a call to the key-value service gave no result. */
export enum KvErrorCode {
	/** The call had no effect. */
	NotSent = 'not_sent',
	/** A write may or may not have taken effect. */
	OutcomeUnknown = 'outcome_unknown',
	/** The service refused the call for its rate; it had no effect. */
	RateLimited = 'rate_limited',
	/** The value exceeds the service's limit; it had no effect. */
	ValueTooLarge = 'value_too_large',
	/** The changes after the given revision are no longer known; a new snapshot is needed. */
	HistoryLost = 'history_lost',
	/** The lease is not known to the service. */
	LeaseLost = 'lease_lost',
}

/** A failed call to the key-value service. */
export type KvError = {
	readonly code: KvErrorCode;
	readonly message: string;
};

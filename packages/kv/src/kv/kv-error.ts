/** Why a call to the key-value service failed. */
export enum KvErrorCode {
	/** The call had no effect: no connection could be opened, or a read failed. */
	NotSent = 'not_sent',
	/** A write may or may not have taken effect. */
	OutcomeUnknown = 'outcome_unknown',
	/** The service rejected the call because of its rate limit; it had no effect. */
	RateLimited = 'rate_limited',
	/** The value exceeds the service's size limit; the call had no effect. */
	ValueTooLarge = 'value_too_large',
	/** The service no longer has the changes after the given revision; a new snapshot is needed. */
	HistoryLost = 'history_lost',
	/** The lease has expired, was revoked or is unknown to the service. */
	LeaseLost = 'lease_lost',
	/** The response was sent before the service returned from a copy of its data; it was ignored. */
	EraOutdated = 'era_outdated',
	/**
	 * The service returned from a copy after it had given out the revision or the lease that the call names. A write may or may not
	 * have taken effect; revisions must be read again and leases requested anew.
	 */
	EraCrossed = 'era_crossed',
}

/** A failed call to the key-value service. */
export type KvError = {
	readonly code: KvErrorCode;
	readonly message: string;
};

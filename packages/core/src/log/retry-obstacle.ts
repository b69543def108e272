/** Why a request is not sent to another endpoint. */
export enum RetryObstacle {
	/** The caller has closed its connection. */
	CallerDisconnected = 'caller_gone',
	DeadlinePassed = 'deadline_passed',
	/** The ids of the events of the response were not consecutive. */
	InvalidSequence = 'invalid_sequence',
	/** Endpoints interrupted as many responses of the request as are allowed. */
	Interruptions = 'interruptions',
	/** A response has begun, and the route does not allow that it is resumed. */
	NotResumable = 'not_resumable',
	/** The request may have been executed, and must not be executed again. */
	NotIdempotent = 'not_idempotent',
	/** All attempts that the route allows were made. */
	AttemptsUsed = 'attempts_used',
	/** The retry budget of the fleet is used up. */
	RetryBudgetUsed = 'retry_budget_used',
	/** The API key was revoked, or the configuration is older than requests with keys allow. */
	NotAuthorized = 'not_authorized',
	PartQuarantined = 'part_quarantined',
	/** The quota of the account does not allow another attempt now. */
	QuotaUsed = 'quota_used',
	/** No other endpoint could accept the request. */
	NoEndpoint = 'no_endpoint',
	/** The grace period of the process was over. */
	ShuttingDown = 'shutting_down',
}

/** Code of each refusal and failure that a caller can receive. docs/API.md lists their HTTP statuses. */
export enum ErrorCode {
	/** The request is malformed; the message lists every finding. */
	InvalidRequest = 'invalid_request',
	/** The request body exceeds the limit. */
	BodyTooLarge = 'body_too_large',
	/** The caller did not send the request in time. */
	RequestTimeout = 'request_timeout',
	/** No or an unknown bearer key. */
	Unauthenticated = 'unauthenticated',
	/** The account may not use this model or service. */
	Forbidden = 'forbidden',
	/** No such path, model or service. */
	NotFound = 'not_found',
	/** The call may not be repeated and carries no idempotency key. */
	IdempotencyKeyRequired = 'idempotency_key_required',
	/** The idempotency key was used before with another request. */
	IdempotencyKeyReused = 'idempotency_key_reused',
	/** The same request is under way. */
	InProgress = 'in_progress',
	/** It is not known whether an earlier request with this key ran; it is never run again. */
	OutcomeUnknown = 'outcome_unknown',
	/** The account is over its limit. */
	RateLimited = 'rate_limited',
	/** The system is overloaded. */
	Overloaded = 'overloaded',
	/** No endpoint can serve the request at present. */
	NoEndpoint = 'no_endpoint',
	/** All allowed weights of the model are recalled. */
	WeightsRecalled = 'weights_recalled',
	/** The deadline passed. */
	DeadlineExceeded = 'deadline_exceeded',
	/** The ledger cannot record the intent at present. */
	LedgerUnavailable = 'ledger_unavailable',
	/** The router cannot confirm that its manifest is in force. */
	ManifestUnconfirmed = 'manifest_unconfirmed',
	/** The router is starting or stopping. */
	NotReady = 'not_ready',
	/** The endpoint failed after it may have begun. */
	EndpointFailed = 'endpoint_failed',
	/** A stream could not be continued after its first byte. */
	StreamInterrupted = 'stream_interrupted',
	/** The caller went away. */
	CallerGone = 'caller_gone',
	/** A fault of the router itself. */
	Internal = 'internal',
}

/** Code of each refusal and failure that a caller can receive. docs/API.md lists their HTTP statuses. */
export enum ErrorCode {
	/** The request is malformed; the message lists every finding. */
	InvalidRequest = 'invalid_request',
	/** The request body exceeds the limit. */
	BodyTooLarge = 'body_too_large',
	/** The caller did not send the request in time. */
	RequestTimeout = 'request_timeout',
	/** The bearer key is missing or unknown. */
	Unauthenticated = 'unauthenticated',
	/** The account may not use this model or service. */
	Forbidden = 'forbidden',
	/** The path, model or service does not exist. */
	NotFound = 'not_found',
	/** The request is of a kind that is not repeatable, and it carries no idempotency key. */
	IdempotencyKeyRequired = 'idempotency_key_required',
	/** The idempotency key was already used with another request. */
	IdempotencyKeyReused = 'idempotency_key_reused',
	/** A request with the same idempotency key is in progress. */
	InProgress = 'in_progress',
	/** It is unknown whether an earlier request with this idempotency key was executed; it is never executed again. */
	OutcomeUnknown = 'outcome_unknown',
	/** The account has exceeded its rate limit. */
	RateLimited = 'rate_limited',
	/** The system is overloaded. */
	Overloaded = 'overloaded',
	/** No endpoint can currently serve the request. */
	NoEndpoint = 'no_endpoint',
	/** All allowed weights of the model are recalled. */
	WeightsRecalled = 'weights_recalled',
	/** The deadline passed. */
	DeadlineExceeded = 'deadline_exceeded',
	/** The ledger cannot currently record the intent to send the request. */
	LedgerUnavailable = 'ledger_unavailable',
	/** The router cannot confirm that its manifest is current. */
	ManifestUnconfirmed = 'manifest_unconfirmed',
	/** The router is starting or stopping. */
	NotReady = 'not_ready',
	/** The endpoint failed when it may already have begun to process the request. */
	EndpointFailed = 'endpoint_failed',
	/** A stream could not be continued after its first byte. */
	StreamInterrupted = 'stream_interrupted',
	/** The caller closed the connection. */
	CallerDisconnected = 'caller_gone',
	/** An internal error of the router. */
	Internal = 'internal',
}

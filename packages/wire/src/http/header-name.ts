/** HTTP header names, in lower case, that the router reads or writes. */
export enum HeaderName {
	Authorization = 'authorization',
	IdempotencyKey = 'idempotency-key',
	RetryAfter = 'retry-after',
	LastEventId = 'last-event-id',
	/** Milliseconds that the caller gives the request. */
	DeadlineMs = 'x-deadline-ms',
	/** Name of the request kind. */
	RequestKind = 'x-request-kind',
	/** Name of the request; echoed on every answer. */
	RequestId = 'x-request-id',
	/** Name of one try; echoed by endpoints. */
	AttemptId = 'x-attempt-id',
	/** Execution state of an answer. */
	Execution = 'x-execution',
	/** Incarnation of the engine that answered. */
	EngineIncarnation = 'x-engine-incarnation',
	/** Weights that answered, or on a request the weights that must answer. */
	Weights = 'x-weights',
	/** Client account, on requests to endpoints. */
	Account = 'x-account',
	/** Generation of the manifest that the router decided by. */
	ManifestGeneration = 'x-manifest-generation',
}

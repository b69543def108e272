/** HTTP header names, in lower case, that the router reads or writes. */
export enum HeaderName {
	Authorization = 'authorization',
	IdempotencyKey = 'idempotency-key',
	RetryAfter = 'retry-after',
	LastEventId = 'last-event-id',
	/** Time in milliseconds in which the caller wants the response. */
	DeadlineMs = 'x-deadline-ms',
	/** Name of the request kind. */
	RequestKind = 'x-request-kind',
	/** Id of the request; repeated in every response. */
	RequestId = 'x-request-id',
	/** Id of one attempt of a request; repeated in the response of an endpoint. */
	AttemptId = 'x-attempt-id',
	/** On a response: how far the request was executed. */
	Execution = 'x-execution',
	/** On a response: incarnation of the engine that executed the request. */
	EngineIncarnation = 'x-engine-incarnation',
	/** On a request: the required weights; on a response: the weights that were used. */
	Weights = 'x-weights',
	/** On a request to an endpoint: the client account. */
	Account = 'x-account',
	/** On a response: generation of the manifest that the router used. */
	ManifestGeneration = 'x-manifest-generation',
}

import type * as core from '@bluebellmast/core';

/** Why the gateway refuses a request. */
export enum RefusalCode {
	MalformedRequest = 'malformed_request',
	HeadTooLarge = 'head_too_large',
	/** The head did not arrive within the configured time. */
	HeadTimeout = 'head_timeout',
	BodyTooLarge = 'body_too_large',
	/** The body did not arrive before the deadline. */
	BodyTimeout = 'body_timeout',
	/** The bodies of all requests together take as much memory as they may. */
	MemoryUsed = 'memory_used',
	/** The VM has as many connections of callers as it may. */
	TooManyConnections = 'too_many_connections',
	UnknownRoute = 'unknown_route',
	UnknownKey = 'unknown_key',
	/** The account has used its quota. */
	QuotaExceeded = 'quota_exceeded',
	/** The request needs more than the quota of its account ever allows at once. */
	QuotaTooSmall = 'quota_too_small',
	/** No VM that knows what is left of the quota responds. */
	QuotaUnavailable = 'quota_unavailable',
	/** No configuration is known, or it is too old for the decision. */
	ConfigUnavailable = 'config_unavailable',
	/** No endpoint can accept the request now. */
	NoEndpoint = 'no_endpoint',
	/** A part of the prompt is quarantined, since endpoints ended that began a response on it. */
	PartQuarantined = 'part_quarantined',
	/** The response can't start before the deadline. */
	DeadlineTooClose = 'deadline_too_close',
	/** The VM shuts down, no endpoint can have executed the request, and a response would come too late. */
	ShuttingDown = 'shutting_down',
	/** The request was sent, and its outcome is unknown. */
	OutcomeUnknown = 'outcome_unknown',
	/** The request was sent, and no response arrived in time. */
	TimedOut = 'timed_out',
	/** The caller closed its connection; the refusal is only logged. */
	CallerDisconnected = 'caller_gone',
	/** An unexpected error in the gateway before a response was started. */
	InternalError = 'internal_fault',
}

/** HTTP statuses of refusals. */
const statuses: Readonly<Record<RefusalCode, number>> = {
	[RefusalCode.MalformedRequest]: 400,
	[RefusalCode.HeadTooLarge]: 431,
	[RefusalCode.HeadTimeout]: 408,
	[RefusalCode.BodyTooLarge]: 413,
	[RefusalCode.BodyTimeout]: 408,
	[RefusalCode.MemoryUsed]: 503,
	[RefusalCode.TooManyConnections]: 503,
	[RefusalCode.UnknownRoute]: 404,
	[RefusalCode.UnknownKey]: 401,
	[RefusalCode.QuotaExceeded]: 429,
	[RefusalCode.QuotaTooSmall]: 429,
	[RefusalCode.QuotaUnavailable]: 503,
	[RefusalCode.ConfigUnavailable]: 503,
	[RefusalCode.NoEndpoint]: 503,
	[RefusalCode.PartQuarantined]: 503,
	[RefusalCode.DeadlineTooClose]: 503,
	[RefusalCode.ShuttingDown]: 503,
	[RefusalCode.OutcomeUnknown]: 502,
	[RefusalCode.TimedOut]: 504,
	[RefusalCode.CallerDisconnected]: 503,
	[RefusalCode.InternalError]: 502,
};

/** A response that the gateway itself sends instead of relaying one of an endpoint. */
export type Refusal = {
	readonly code: RefusalCode;
	/** Milliseconds after which a retry by the caller can succeed; absent if unknown. */
	readonly retryAfterMs?: number;
	/** Validation errors, each with the header or part concerned. */
	readonly findings?: readonly string[];
	/** Inputs of the decision, for the log. */
	readonly inputs?: core.log.RefusalInputs;
};

/** Returns the HTTP status of a refusal. */
export function getStatus(refusal: Refusal): number {
	return statuses[refusal.code];
}

/** Time after which a retry can succeed if no endpoint can accept a request now, in milliseconds. */
export const noEndpointRetryAfterMs = 250;

/**
 * Time after which a retry can succeed if all endpoints are leaving, in milliseconds: the interval at which the store is polled for
 * others.
 */
export const allLeavingRetryAfterMs = 1000;

/** Time after which a request that this VM can't complete before it ends can be sent to another one, in milliseconds. */
export const shuttingDownRetryAfterMs = 100;

/** Time within which the store should confirm the configuration again, in milliseconds. */
const configRetryAfterMs = 300;

/** Creates the refusal of a request that can't be decided with a configuration of the given age. */
export function createConfigUnavailableRefusal(ageMs: number): Refusal {
	return {
		code: RefusalCode.ConfigUnavailable,
		retryAfterMs: configRetryAfterMs,
		inputs: {configAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined},
	};
}

import type * as core from '@bluebellmast/core';

/** Why the gateway answers a request itself. */
export enum RefusalCode {
	MalformedRequest = 'malformed_request',
	HeadTooLarge = 'head_too_large',
	BodyTooLarge = 'body_too_large',
	/** The body did not arrive before the deadline. */
	BodyTimeout = 'body_timeout',
	UnknownRoute = 'unknown_route',
	UnknownKey = 'unknown_key',
	/** No configuration is known, or it is too old to decide by. */
	ConfigUnavailable = 'config_unavailable',
	/** No endpoint can take the request now. */
	NoEndpoint = 'no_endpoint',
	/** The answer can't begin before the deadline. */
	DeadlineTooClose = 'deadline_too_close',
	/** The request was sent, and its outcome is unknown. */
	OutcomeUnknown = 'outcome_unknown',
	/** The request was sent and not answered in time. */
	TimedOut = 'timed_out',
	/** The caller closed its connection; nobody gets this answer. */
	CallerDisconnected = 'caller_gone',
	/** A fault of this program before anything was sent. */
	InternalError = 'internal_fault',
}

/** HTTP statuses of the gateway's own answers. */
const statuses: Readonly<Record<RefusalCode, number>> = {
	[RefusalCode.MalformedRequest]: 400,
	[RefusalCode.HeadTooLarge]: 431,
	[RefusalCode.BodyTooLarge]: 413,
	[RefusalCode.BodyTimeout]: 408,
	[RefusalCode.UnknownRoute]: 404,
	[RefusalCode.UnknownKey]: 401,
	[RefusalCode.ConfigUnavailable]: 503,
	[RefusalCode.NoEndpoint]: 503,
	[RefusalCode.DeadlineTooClose]: 503,
	[RefusalCode.OutcomeUnknown]: 502,
	[RefusalCode.TimedOut]: 504,
	[RefusalCode.CallerDisconnected]: 503,
	[RefusalCode.InternalError]: 502,
};

/** An answer of the gateway's own. */
export type Refusal = {
	readonly code: RefusalCode;
	/** Milliseconds after which another try can succeed; absent where it can't be told. */
	readonly retryAfterMs?: number;
	/** What is wrong, each with its place. */
	readonly findings?: readonly string[];
	/** What the decision rested on, for the log. */
	readonly inputs?: core.log.RefusalInputs;
};

/** Returns the HTTP status of a refusal. */
export function getStatus(refusal: Refusal): number {
	return statuses[refusal.code];
}

/** Time after which another try can succeed when no endpoint can take a request now, in milliseconds. */
export const noEndpointRetryAfterMs = 250;

/** Time after which a configuration that is being read again should be there, in milliseconds. */
const configRetryAfterMs = 300;

/** Returns the refusal of what a configuration of this age can't decide. */
export function createConfigUnavailableRefusal(ageMs: number): Refusal {
	return {
		code: RefusalCode.ConfigUnavailable,
		retryAfterMs: configRetryAfterMs,
		inputs: {configAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined},
	};
}

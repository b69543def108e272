import * as core from '@bluebellmast/core';

const statusByCode: Readonly<Record<core.model.ErrorCode, number>> = {
	[core.model.ErrorCode.InvalidRequest]: 400,
	[core.model.ErrorCode.BodyTooLarge]: 413,
	[core.model.ErrorCode.RequestTimeout]: 408,
	[core.model.ErrorCode.Unauthenticated]: 401,
	[core.model.ErrorCode.Forbidden]: 403,
	[core.model.ErrorCode.NotFound]: 404,
	[core.model.ErrorCode.IdempotencyKeyRequired]: 400,
	[core.model.ErrorCode.IdempotencyKeyReused]: 422,
	[core.model.ErrorCode.InProgress]: 409,
	[core.model.ErrorCode.OutcomeUnknown]: 409,
	[core.model.ErrorCode.RateLimited]: 429,
	[core.model.ErrorCode.Overloaded]: 503,
	[core.model.ErrorCode.NoEndpoint]: 503,
	[core.model.ErrorCode.WeightsRecalled]: 503,
	[core.model.ErrorCode.DeadlineExceeded]: 504,
	[core.model.ErrorCode.LedgerUnavailable]: 503,
	[core.model.ErrorCode.ManifestUnconfirmed]: 503,
	[core.model.ErrorCode.NotReady]: 503,
	[core.model.ErrorCode.EndpointFailed]: 502,
	[core.model.ErrorCode.StreamInterrupted]: 502,
	[core.model.ErrorCode.CallerDisconnected]: 499,
	[core.model.ErrorCode.Internal]: 500,
};

/** Returns the HTTP status for an error code. */
export function httpStatusOf(code: core.model.ErrorCode): number {
	return statusByCode[code];
}

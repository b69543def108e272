import * as core from '@bluebellmast/core';

/** Why an attempt at an endpoint gave no complete response. */
export type AttemptFailure = {
	readonly cause: core.request.FailureCause;
	readonly message: string;
};

const codeByCause: Readonly<Record<core.request.FailureCause, core.model.ErrorCode>> = {
	[core.request.FailureCause.ConnectFailed]: core.model.ErrorCode.NoEndpoint,
	[core.request.FailureCause.Refused]: core.model.ErrorCode.Overloaded,
	[core.request.FailureCause.ConnectionLost]: core.model.ErrorCode.EndpointFailed,
	[core.request.FailureCause.EndpointGone]: core.model.ErrorCode.EndpointFailed,
	[core.request.FailureCause.EndpointError]: core.model.ErrorCode.EndpointFailed,
	[core.request.FailureCause.MismatchedResponse]: core.model.ErrorCode.EndpointFailed,
	[core.request.FailureCause.WeightsRecalled]: core.model.ErrorCode.WeightsRecalled,
};

/** Returns the error code that the caller gets when a request ends with a failure of this cause. */
export function errorCodeOfCause(cause: core.request.FailureCause): core.model.ErrorCode {
	return codeByCause[cause];
}

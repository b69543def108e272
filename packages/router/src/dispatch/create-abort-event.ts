import * as core from '@bluebellmast/core';
import type * as requestDriver from './request-driver.js';

/** Returns the event that ends a request whose signal was aborted: the caller is gone, or its deadline has passed. */
export function createAbortEvent(
	signal: AbortSignal,
	driver: requestDriver.RequestDriver,
): core.request.RequestEvent | undefined {
	if (!signal.aborted) {
		return undefined;
	}

	if (signal.reason === core.model.ErrorCode.CallerGone) {
		return {type: core.request.RequestEventType.CallerDisconnected};
	}

	driver.setRefusalDetails('the deadline passed');
	return {type: core.request.RequestEventType.DeadlinePassed};
}

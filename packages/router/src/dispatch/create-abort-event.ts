import * as core from '@bluebellmast/core';
import type * as requestDriver from './request-driver.js';

/**
 * Returns the event that ends a request whose signal is aborted, because the caller disconnected or the deadline passed.
 * Returns `undefined` while the signal is not aborted.
 */
export function createAbortEvent(
	signal: AbortSignal,
	driver: requestDriver.RequestDriver,
): core.request.RequestEvent | undefined {
	if (!signal.aborted) {
		return undefined;
	}

	if (signal.reason === core.model.ErrorCode.CallerDisconnected) {
		return {type: core.request.RequestEventType.CallerDisconnected};
	}

	driver.setRefusalDetails('the deadline passed');
	return {type: core.request.RequestEventType.DeadlinePassed};
}

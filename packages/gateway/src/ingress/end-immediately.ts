import type * as http from 'node:http';
import * as call from '../call/index.js';
import * as abortResponse from '../util/abort-response.js';

/** Refuses a request, according to whether it was sent to an endpoint; aborts a response that has started. */
export function endImmediately(res: http.ServerResponse, isSent: boolean): void {
	if (!res.headersSent) {
		res.setHeader('Connection', 'close');
		call.sendRefusal(res, isSent
			? {code: call.RefusalCode.OutcomeUnknown}
			: {code: call.RefusalCode.ShuttingDown, retryAfterMs: call.noEndpointRetryAfterMs});
	}

	if (!res.writableEnded) {
		abortResponse.abortResponse(res);
	}
}

import type * as core from '@bluebellmast/core';
import * as wire from '@bluebellmast/wire';

const millisecondsPerSecond = 1000;

/** Returns the headers of a refusal: its execution state, and the retry delay in whole seconds if it has one. */
export function createRefusalHeaders(refusal: core.model.Refusal): Record<string, string> {
	const headers: Record<string, string> = {[wire.http.HeaderName.Execution]: refusal.execution};
	if (refusal.retryAfterMs !== undefined) {
		const seconds = Math.max(1, Math.ceil(refusal.retryAfterMs / millisecondsPerSecond));
		headers[wire.http.HeaderName.RetryAfter] = String(seconds);
	}

	return headers;
}

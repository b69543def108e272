import * as buffer from 'node:buffer';
import type * as http from 'node:http';
import * as refusals from './refusal.js';

const msPerSecond = 1000;

/** Sends a refusal to the caller, unless the response has already started or its connection is closed. */
export function sendRefusal(res: http.ServerResponse, refusal: refusals.Refusal): void {
	if (res.headersSent || res.destroyed) {
		return;
	}

	removeRelayedHeaders(res);
	const body = buffer.Buffer.from(JSON.stringify({code: refusal.code, findings: refusal.findings}));
	res.statusCode = refusals.getStatus(refusal);
	res.setHeader('Content-Type', 'application/json');
	res.setHeader('Content-Length', body.length);
	if (refusal.retryAfterMs !== undefined) {
		res.setHeader('Retry-After', (refusal.retryAfterMs / msPerSecond).toFixed(2));
	}

	res.end(body);
}

/** Removes the headers of an endpoint's response that could not be relayed; they do not apply to a refusal. */
function removeRelayedHeaders(res: http.ServerResponse): void {
	for (const name of res.getHeaderNames()) {
		if (name !== 'connection') {
			res.removeHeader(name);
		}
	}
}

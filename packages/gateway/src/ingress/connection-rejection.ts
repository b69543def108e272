import * as refusals from '../call/refusal.js';

const msPerSecond = 1000;
/** Node's code for a head that takes too long. */
const headTimeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT';

/** Refusal of bytes that are no request; it has no body. */
export type ConnectionRejection = {
	/** Code for the log. */
	readonly code: refusals.RefusalCode;
	/** Whole response. */
	readonly response: string;
};

/** Whether an error of Node's HTTP server says that a head took too long. */
export function isHeadTimeout(err: NodeJS.ErrnoException): boolean {
	return err.code === headTimeoutCode;
}

/** Creates the refusal that corresponds to an error of Node's HTTP server. */
export function createRejection(err: NodeJS.ErrnoException): ConnectionRejection {
	if (isHeadTimeout(err)) {
		return encode('408 Request Timeout', refusals.RefusalCode.HeadTimeout);
	}

	return err.code === 'HPE_HEADER_OVERFLOW'
		? encode('431 Request Header Fields Too Large', refusals.RefusalCode.HeadTooLarge)
		: encode('400 Bad Request', refusals.RefusalCode.MalformedRequest);
}

/** Creates the refusal of a connection for which there is no room; nothing of its request is read. */
export function createFullRejection(): ConnectionRejection {
	return encode('503 Service Unavailable', refusals.RefusalCode.TooManyConnections, `Retry-After: ${refusals.noEndpointRetryAfterMs / msPerSecond}\r\n`);
}

function encode(status: string, code: refusals.RefusalCode, headers = ''): ConnectionRejection {
	return {code, response: `HTTP/1.1 ${status}\r\nConnection: close\r\n${headers}Content-Length: 0\r\n\r\n`};
}

import type * as http from 'node:http';

/**
 * Closes the connection of a response that can't be completed. One that neither states its length nor is chunked, as to a caller of HTTP/1.0, ends with
 * its connection, so that only a reset shows that it is incomplete.
 */
export function abortResponse(res: http.ServerResponse): void {
	const endsWithConnection = res.headersSent && !res.useChunkedEncodingByDefault && !res.hasHeader('Content-Length');
	if (endsWithConnection) {
		res.socket?.resetAndDestroy();
	}

	res.destroy();
}

import type * as net from 'node:net';
import * as core from '@bluebellmast/core';
import * as undici from 'undici';

/** Options of {@link createBoundedConnector}. */
export type BoundedConnectorOptions = {
	/** Timeout of opening a connection, in milliseconds. */
	readonly timeoutMs: number;
	/** Largest body of a response, in bytes. */
	readonly maxBodyBytes: number;
};

/**
 * Creates a connector for clients of undici that closes a connection on which far more arrives after a request than a response may have. The HTTP parser does not
 * bound status lines, extensions of chunk sizes and interim responses.
 */
export function createBoundedConnector({timeoutMs, maxBodyBytes}: BoundedConnectorOptions): undici.buildConnector.connector {
	const connect = undici.buildConnector({timeout: timeoutMs});
	return (options, callback) => {
		connect(options, (...result: Parameters<undici.buildConnector.Callback>) => {
			const [err, socket] = result;
			if (err === null) {
				boundResponses(socket, maxBodyBytes + core.request.maxResponseOverheadBytes);
			}

			callback(...result);
		});
	};
}

/** Counts what arrives since the last write: each connection carries one request at a time. */
function boundResponses(socket: net.Socket, maxBytes: number): void {
	let bytesBefore = 0;
	let lastRead = 0;
	let lastWritten = 0;
	socket.on('readable', () => {
		const {bytesRead, bytesWritten} = socket;
		if (bytesWritten !== lastWritten) {
			lastWritten = bytesWritten;
			bytesBefore = lastRead;
		}

		lastRead = bytesRead;
		if (bytesRead - bytesBefore > maxBytes) {
			socket.destroy(new Error(`more than ${maxBytes} bytes without the end of a response`));
		}
	});
}

import type * as net from 'node:net';

/**
 * Closes a TCP connection with a reset. One whose writing side was ended is closed without it: the reset of Node.js 20 fails with
 * `EINVAL` while the end is in progress, the connection is never closed, and the process never exits.
 */
export function resetSocket(socket: net.Socket): void {
	if (socket.writableEnded) {
		socket.destroy();
		return;
	}

	socket.resetAndDestroy();
}

import type * as net from 'node:net';

/** Time for which a connection is kept at least after its last response, in milliseconds, to discard what its caller is still sending. */
export const minLingerMs = 1000;

/**
 * Closes a connection so that the caller can read what was sent last: ends the sending direction, and discards what arrives until the
 * caller closes its side, for at most `maxMs` milliseconds. A connection that is closed at once is reset by bytes that arrive afterwards,
 * and the caller may lose a response that it has not read.
 */
export function closeLingering(socket: net.Socket, maxMs: number): void {
	if (socket.destroyed || socket.writableEnded) {
		return;
	}

	const timer = setTimeout(() => {
		socket.destroy();
	}, maxMs);
	socket.once('close', () => {
		clearTimeout(timer);
	});
	socket.end();
}

/** Sets how long a connection lingers when Node's HTTP server closes it after its last response, in milliseconds. */
export function setLingerTime(socket: net.Socket, maxMs: number): void {
	socket.destroySoon = () => {
		closeLingering(socket, maxMs);
	};
}

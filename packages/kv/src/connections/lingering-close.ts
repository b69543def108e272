import type * as net from 'node:net';
import * as timeouts from '../timeouts/index.js';

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

	const timer = new timeouts.InputTimer(maxMs, () => {
		socket.destroy();
	});
	socket.once('close', () => {
		timer.clear();
	});
	socket.end();
}

/**
 * Closes an idle connection, unless bytes have arrived that were not read yet. It is closed at once: the end of the sending direction alone would be sent in the next turn
 * of the event loop, and a request that arrives until then would wait in vain.
 */
export async function closeIdle(socket: net.Socket): Promise<void> {
	const {bytesRead} = socket;
	await timeouts.waitForInput();
	if (socket.bytesRead === bytesRead) {
		socket.destroy();
	}
}

/**
 * Closes a connection after a response whose head has not announced it. Unless `mustRead`, nothing is read from now on, so that a request that crosses the close can be
 * repeated.
 *
 * @param mustRead - Whether the caller may still be sending what belongs to the request.
 */
export function closeAfterResponse(socket: net.Socket, mustRead: boolean): void {
	if (!mustRead) {
		socket.pause();
	}

	closeLingering(socket, minLingerMs);
}

/** Sets how long a connection lingers when Node's HTTP server closes it after its last response, in milliseconds. */
export function setLingerTime(socket: net.Socket, maxMs: number): void {
	socket.destroySoon = () => {
		closeLingering(socket, maxMs);
	};
}

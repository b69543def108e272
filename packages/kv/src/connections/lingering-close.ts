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

/** Closes an idle connection, unless bytes have arrived that were not read yet. */
export async function closeIdle(socket: net.Socket): Promise<void> {
	const {bytesRead} = socket;
	await timeouts.waitForInput();
	if (socket.bytesRead === bytesRead) {
		closeUnread(socket);
	}
}

/**
 * Closes a connection on which no request is in progress without reading what arrives from now on, so that a request that crosses the close can be repeated. It is kept for a time, since bytes that
 * arrive at a closed connection reset it.
 */
export function closeUnread(socket: net.Socket): void {
	socket.pause();
	closeLingering(socket, minLingerMs);
}

/** Whether a connection was closed by {@link closeUnread}. */
export function isClosedUnread(socket: net.Socket): boolean {
	return socket.writableEnded && socket.isPaused();
}

/** Sets how long a connection lingers when Node's HTTP server closes it after its last response, in milliseconds. */
export function setLingerTime(socket: net.Socket, maxMs: number): void {
	socket.destroySoon = () => {
		closeLingering(socket, maxMs);
	};
}

/** Has a connection closed as an idle one when Node's HTTP server destroys it while a condition holds. */
export function closeUnreadOnDestroy(socket: net.Socket, isIdle: () => boolean): void {
	const destroy = socket.destroy.bind(socket);
	socket.destroy = err => {
		if (!isIdle()) {
			return destroy(err);
		}

		closeUnread(socket);
		return socket;
	};
}

import type * as net from 'node:net';

/**
 * Whether the peer has reset a connection whose end is being reported. Node reports a regular end as well if the reset arrives before the last bytes
 * are read; the socket then has no peer any more.
 *
 * @param socket - Its `remoteAddress` must not have been read before, since Node keeps the address from then on.
 */
export function isReset(socket: Pick<net.Socket, 'remoteAddress'>): boolean {
	return socket.remoteAddress === undefined;
}

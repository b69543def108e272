import type * as net from 'node:net';

/** When a connection became idle, and for how long its last response allows it to be used again, in milliseconds. */
type IdleConnection = {readonly since: number; readonly announcedMs: number};

/** Time for which idle connections stay open beyond the time that callers may use, in milliseconds, for requests that are on their way. */
const transitMarginMs = 1000;

/**
 * Idle connections of callers. A limit that is raised applies to the connections that are idle already, since callers use them according to
 * the new limit; one that is lowered does not shorten the time that the last response has announced.
 */
export class IdleConnections {
	readonly #connections = new WeakMap<net.Socket, IdleConnection>();

	/** Records that a response has ended whose head announced the given time. */
	record(socket: net.Socket, announcedMs: number, now: number): void {
		this.#connections.set(socket, {since: now, announcedMs});
	}

	/** Returns how long an idle connection must stay open under the given limit, in milliseconds. */
	getRemainingMs(socket: net.Socket, limitMs: number, now: number): number {
		const idle = this.#connections.get(socket);
		return idle === undefined ? 0 : idle.since + Math.max(idle.announcedMs, limitMs) + transitMarginMs - now;
	}
}

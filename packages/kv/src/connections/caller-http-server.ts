import * as http from 'node:http';
import type * as net from 'node:net';
import * as timeouts from '../timeouts/index.js';
import * as lingeringClose from './lingering-close.js';

/**
 * HTTP server that closes idle connections without a reset, so that a caller whose request crosses the close can tell that it was not executed.
 * It keeps them open while a response has ended that is not sent as a whole, since Node counts its connection as idle.
 */
export class CallerHttpServer extends http.Server {
	#isClosingIdle = false;
	#acceptedCount = 0;
	readonly #sockets = new Set<net.Socket>();

	constructor(
		options: http.ServerOptions,
		private readonly handle: (req: http.IncomingMessage, res: http.ServerResponse) => void,
		private readonly hasUnsentResponses: () => boolean,
	) {
		super(options);
		this.on('request', this.handle);
		this.on('connection', (socket: net.Socket) => {
			this.#acceptedCount += 1;
			this.#sockets.add(socket);
			socket.once('close', () => {
				this.#sockets.delete(socket);
			});
			lingeringClose.setLingerTime(socket, lingeringClose.minLingerMs);
			lingeringClose.closeUnreadOnDestroy(socket, () => this.#isClosingIdle);
		});
	}

	/** Whether connections are open other than those that were closed while they were idle. */
	get hasBusyConnections(): boolean {
		return [...this.#sockets].some(socket => !lingeringClose.isClosedUnread(socket));
	}

	/** Accepts the connections that wait, and reads the requests on them; those that are not accepted when the server closes are reset. */
	async acceptWaiting(mayContinue: () => boolean): Promise<void> {
		let lastCount: number;
		do {
			lastCount = this.#acceptedCount;
			// A turn of the event loop accepts one connection, and reads what has arrived on those of the turns before.
			await timeouts.waitForInput(); // eslint-disable-line no-await-in-loop -- Turns follow one another.
			await timeouts.waitForInput(); // eslint-disable-line no-await-in-loop -- Turns follow one another.
		} while (this.#acceptedCount > lastCount && mayContinue());
	}

	override closeIdleConnections(): void {
		if (this.hasUnsentResponses()) {
			return;
		}

		this.#isClosingIdle = true;
		super.closeIdleConnections();
		this.#isClosingIdle = false;
	}
}

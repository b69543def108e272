import * as http from 'node:http';
import type * as net from 'node:net';
import * as timeouts from '../timeouts/index.js';
import * as lingeringClose from './lingering-close.js';

/** HTTP server that keeps idle connections open while a response has ended that is not sent as a whole; Node counts its connection as idle. */
export class CallerHttpServer extends http.Server {
	#acceptedCount = 0;

	constructor(
		options: http.ServerOptions,
		private readonly handle: (req: http.IncomingMessage, res: http.ServerResponse) => void,
		private readonly hasUnsentResponses: () => boolean,
	) {
		super(options);
		this.on('request', this.handle);
		this.on('connection', (socket: net.Socket) => {
			this.#acceptedCount += 1;
			lingeringClose.setLingerTime(socket, lingeringClose.minLingerMs);
		});
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

		await timeouts.waitForInput();
	}

	override closeIdleConnections(): void {
		if (!this.hasUnsentResponses()) {
			super.closeIdleConnections();
		}
	}
}

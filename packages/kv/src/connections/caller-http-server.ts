import * as http from 'node:http';
import type * as net from 'node:net';
import * as lingeringClose from './lingering-close.js';

/**
 * HTTP server that closes idle connections without a reset, so that a caller whose request crosses the close can tell that it was not executed.
 * It keeps them open while a response has ended that is not sent as a whole, since Node counts its connection as idle.
 */
export class CallerHttpServer extends http.Server {
	#isClosingIdle = false;

	constructor(
		options: http.ServerOptions,
		private readonly handle: (req: http.IncomingMessage, res: http.ServerResponse) => void,
		private readonly hasUnsentResponses: () => boolean,
	) {
		super(options);
		this.on('request', this.handle);
		this.on('connection', (socket: net.Socket) => {
			lingeringClose.setLingerTime(socket, lingeringClose.minLingerMs);
			lingeringClose.lingerOnDestroy(socket, () => this.#isClosingIdle);
		});
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

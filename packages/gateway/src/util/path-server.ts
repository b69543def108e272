import * as http from 'node:http';
import type * as net from 'node:net';
import * as clients from '@bluebellmast/kv';
import * as eventLog from './event-log.js';
import * as listen from './listen.js';

/** Handles a request for the path of a {@link PathServer}. */
export type PathHandler = (res: http.ServerResponse) => Promise<void> | void;

/** HTTP server with a single path; responds with 404 to all others. */
export class PathServer {
	readonly #server: http.Server;

	constructor(private readonly path: string, private readonly handler: PathHandler, private readonly log: eventLog.EventLog) {
		this.#server = http.createServer((req, res) => {
			void this.#handle(req, res);
		});
		this.#server.on('timeout', (socket: net.Socket) => {
			void clients.connections.closeIdle(socket);
		});
	}

	/** Starts listening. */
	async listen(address: listen.ListenAddress): Promise<void> {
		return listen.listenOn(this.#server, address);
	}

	/** Port on which the server listens. */
	get port(): number {
		return listen.getPort(this.#server);
	}

	/** Closes the server and all connections immediately. */
	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #handle(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		if (req.url !== this.path) {
			res.writeHead(404, {'Content-Length': 0});
			res.end();
			return;
		}

		try {
			await this.handler(res);
		} catch (err) {
			this.log.write(eventLog.LogEvent.InternalError, {task: this.path, problem: String(err)});
			res.destroy();
		}
	}
}

import * as http from 'node:http';
import * as listen from '../util/listen.js';

/** Tells the platform's balancer whether this VM takes new connections. */
export class ReadinessServer {
	readonly #server: http.Server;

	/** @param isReady - Asked at each call. */
	constructor(path: string, isReady: () => boolean) {
		this.#server = http.createServer((req, res) => {
			const status = req.url === path ? (isReady() ? 200 : 503) : 404;
			res.writeHead(status, {'Content-Length': 0});
			res.end();
		});
	}

	/** Starts to listen. */
	async listen(address: listen.ListenAddress): Promise<void> {
		return listen.listenOn(this.#server, address);
	}

	/** Port on which the server listens. */
	get port(): number {
		return listen.portOf(this.#server);
	}

	/** Closes everything at once. */
	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}
}

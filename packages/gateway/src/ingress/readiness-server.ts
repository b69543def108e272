import * as http from 'node:http';
import type * as net from 'node:net';
import type * as gatewayServer from './gateway-server.js';

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
	async listen(address: gatewayServer.ListenAddress): Promise<void> {
		return new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(address.port, address.host, () => {
				resolve();
			});
		});
	}

	/** Port on which the server listens. */
	get port(): number {
		return (this.#server.address() as net.AddressInfo).port;
	}

	/** Closes everything at once. */
	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}
}

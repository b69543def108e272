import * as http from 'node:http';
import type * as net from 'node:net';
import type * as adminHandler from './admin-handler.js';
import type * as requestHandler from './request-handler.js';

/** Options and dependencies of `RouterServer`. */
export type RouterServerOptions = {
	/** IP address to listen on. */
	readonly host: string;
	/** Port to listen on; 0 for any free port. */
	readonly port: number;
	/** Time limit for receiving the request headers, in milliseconds. */
	readonly headerTimeoutMs: number;
	/** Maximum size of the request headers, in bytes. Default 32 KiB. */
	readonly maxHeaderBytes?: number;
	readonly requests: requestHandler.RequestHandler;
	readonly admin: adminHandler.AdminHandler;
};

/** Interval at which idle connections are closed during a shutdown. */
const idleCheckIntervalMs = 50;
const defaultMaxHeaderBytes = 32 * 1024;
const badRequestResponse = 'HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-type: application/json\r\n\r\n'
	+ '{"error":{"code":"invalid_request","execution":"not_run","message":"the request is not valid HTTP"}}';

/** HTTP server for callers, operators and the load balancer. */
export class RouterServer {
	readonly #options: RouterServerOptions;
	readonly #server: http.Server;
	#isDraining = false;

	constructor(options: RouterServerOptions) {
		this.#options = options;
		this.#server = http.createServer({
			maxHeaderSize: options.maxHeaderBytes ?? defaultMaxHeaderBytes,
			headersTimeout: options.headerTimeoutMs,
			requestTimeout: 0,
		}, (req, res) => {
			this.#route(req, res);
		});
		this.#server.on('clientError', (_err, socket) => {
			if (socket.writable) {
				socket.end(badRequestResponse);
			}
		});
	}

	/** Port that the server listens on; only valid after `start`. */
	get port(): number {
		return (this.#server.address() as net.AddressInfo).port;
	}

	/** Starts to listen. Rejects if the address cannot be listened on. */
	async start(): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(this.#options.port, this.#options.host, resolve);
		});
	}

	/** From now on closes each connection after its response, so that callers reconnect to other routers. */
	startDraining(): void {
		this.#isDraining = true;
	}

	/** Accepts no new connections and waits until the requests on all open connections have ended. */
	async stop(): Promise<void> {
		this.startDraining();
		const closed = new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
		const timer = setInterval(() => {
			this.#server.closeIdleConnections();
		}, idleCheckIntervalMs);
		await closed;
		clearInterval(timer);
	}

	#route(req: http.IncomingMessage, res: http.ServerResponse): void {
		if (this.#isDraining) {
			res.setHeader('connection', 'close');
		}

		if (this.#options.admin.handles(req)) {
			this.#options.admin.handle(req, res);
			return;
		}

		void this.#options.requests.handle(req, res);
	}
}

import * as http from 'node:http';
import type * as net from 'node:net';
import type * as adminHandler from './admin-handler.js';
import type * as requestHandler from './request-handler.js';

/** Options of the server for callers, operators and the balancer. */
export type RouterServerOptions = {
	/** IP number to listen on. */
	readonly host: string;
	/** Port; 0 takes a free one. */
	readonly port: number;
	/** Milliseconds in which a caller sends its headers. */
	readonly headerTimeoutMs: number;
	/** Bytes of headers at most. Default 32 KiB. */
	readonly maxHeaderBytes?: number;
	readonly requests: requestHandler.RequestHandler;
	readonly admin: adminHandler.AdminHandler;
};

/** Milliseconds between looks for idle connections during a stop. */
const idleCheckIntervalMs = 50;
const defaultMaxHeaderBytes = 32 * 1024;
const badRequestResponse = 'HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-type: application/json\r\n\r\n'
	+ '{"error":{"code":"invalid_request","execution":"not_run","message":"the request is not valid HTTP"}}';

/** Listens for callers, operators and the balancer. */
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

	/** Port that the server listens on. */
	get port(): number {
		return (this.#server.address() as net.AddressInfo).port;
	}

	/** Begins to listen. */
	async start(): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(this.#options.port, this.#options.host, resolve);
		});
	}

	/** From now on closes each connection after its answer, so that callers move to other routers. */
	startDraining(): void {
		this.#isDraining = true;
	}

	/** Takes no new connections, and waits until each open one has ended its request. */
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

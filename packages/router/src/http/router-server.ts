import type * as http from 'node:http';
import type * as net from 'node:net';
import * as clients from '@bluebellmast/kv';
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
	/** Interval at which slow headers are looked for, in milliseconds. Default 30,000. */
	readonly headCheckIntervalMs?: number;
	readonly requests: requestHandler.RequestHandler;
	readonly admin: adminHandler.AdminHandler;
};

/** Time for which connections that wait are accepted at the beginning of a shutdown, in milliseconds. */
const maxAcceptMs = 1000;
/** Interval at which idle connections are closed during a shutdown. */
const idleCheckIntervalMs = 50;
const defaultMaxHeaderBytes = 32 * 1024;
const defaultHeadCheckIntervalMs = 30_000;
/** Node's code for a head that takes too long. */
const headTimeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT';
const badRequestResponse = 'HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-type: application/json\r\n\r\n'
	+ '{"error":{"code":"invalid_request","execution":"not_run","message":"the request is not valid HTTP"}}';

/** HTTP server for callers, operators and the load balancer. */
export class RouterServer {
	readonly #options: RouterServerOptions;
	readonly #server: clients.connections.CallerHttpServer;
	readonly #openResponses = new Set<http.ServerResponse>();
	/** Last request of each connection. */
	readonly #lastRequests = new WeakMap<net.Socket, http.IncomingMessage>();
	#isDraining = false;

	constructor(options: RouterServerOptions) {
		this.#options = options;
		this.#server = new clients.connections.CallerHttpServer({
			maxHeaderSize: options.maxHeaderBytes ?? defaultMaxHeaderBytes,
			headersTimeout: options.headerTimeoutMs,
			requestTimeout: 0,
			connectionsCheckingInterval: options.headCheckIntervalMs ?? defaultHeadCheckIntervalMs,
		}, (req, res) => {
			this.#route(req, res);
		}, () => [...this.#openResponses].some(res => res.writableEnded && !res.writableFinished));
		this.#server.on('clientError', (err: NodeJS.ErrnoException, socket: net.Socket) => {
			if (err.code === headTimeoutCode) {
				void this.#rejectSlowHead(socket);
			} else {
				rejectConnection(socket);
			}
		});
		this.#server.on('timeout', (socket: net.Socket) => {
			void clients.connections.closeIdle(socket);
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
		const acceptedUntil = performance.now() + maxAcceptMs;
		await this.#server.acceptWaiting(() => performance.now() < acceptedUntil);
		const closed = new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
		const timer = new clients.timeouts.InputInterval(idleCheckIntervalMs, () => {
			this.#server.closeIdleConnections();
		});
		await closed;
		timer.clear();
	}

	/** Rejects a head that takes too long, unless the rest of it had arrived, but was not read yet. */
	async #rejectSlowHead(socket: net.Socket): Promise<void> {
		const last = this.#lastRequests.get(socket);
		await clients.timeouts.waitForInput();
		if (this.#lastRequests.get(socket) === last) {
			rejectConnection(socket);
		}
	}

	#route(req: http.IncomingMessage, res: http.ServerResponse): void {
		this.#lastRequests.set(req.socket, req);
		this.#openResponses.add(res);
		res.once('close', () => {
			this.#openResponses.delete(res);
		});
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

function rejectConnection(socket: net.Socket): void {
	if (socket.writable) {
		socket.end(badRequestResponse);
	}
}

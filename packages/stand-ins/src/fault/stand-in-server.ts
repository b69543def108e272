import * as http from 'node:http';
import type * as nodeNet from 'node:net';
import * as net from 'node:net';
import * as httpIo from '../util/http-io.js';
import * as sleepModule from '../util/sleep.js';
import * as fault from './fault.js';
import * as faultState from './fault-state.js';
import * as silenceableConnection from './silenceable-connection.js';

const listenRetryMs = 100;
const maxListenAttempts = 50;

/** Ports that a stand-in listens on, for requests and for faults. */
export type StandInAddresses = {
	readonly port: number;
	readonly faultPort: number;
};

/** A fake of an outside system for tests and benchmarks. */
export interface StandIn { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	start(): Promise<StandInAddresses>;
	stop(): Promise<void>;
}

/** Options of every stand-in. */
export type StandInOptions = {
	/** IP address to listen on; default `127.0.0.1`. */
	readonly host?: string;
	/** Port for requests; default 0, any free port. */
	readonly port?: number;
	/** Whether it listens on the same port again after an outage, which another process may have taken; default true. */
	readonly keepsPort?: boolean;
	/** Port for faults and records; default 0, any free port. */
	readonly faultPort?: number;
	/** Seed of the random number generator; default 1. */
	readonly seed?: number;
	/** Called on the fault `crash` after all connections are closed; default nothing. */
	readonly onCrash?: () => void;
};

/** Responds to a request; `arrivedAt` is its arrival time in milliseconds since the Unix epoch. */
export type RequestHandler = (req: http.IncomingMessage, res: http.ServerResponse, arrivedAt: number) => Promise<void>;

/** Returns the JSON value that `GET /<name>` on the fault port responds with. */
export type RecordReader = () => unknown;

/**
 * HTTP server with a second port, the fault port, on which `POST /fault` injects a fault and `GET /<name>` returns records.
 */
export class StandInServer implements StandIn {
	readonly faults = new faultState.FaultState();
	readonly #http: http.Server;
	readonly #faultHttp: http.Server;
	readonly #connections = new Set<silenceableConnection.SilenceableConnection>();
	readonly #sockets = new Set<nodeNet.Socket>();
	readonly #host: string;
	#listener: net.Server;
	#port: number;

	/**
	 * @param handler - Responds to the requests to the main port.
	 * @param recordReaders - Readers of records by their path on the fault port.
	 * @param onFault - Called with each fault before it is applied.
	 */
	constructor(
		private readonly options: StandInOptions,
		private readonly handler: RequestHandler,
		private readonly recordReaders: Readonly<Record<string, RecordReader>> = {},
		private readonly onFault: (request: fault.FaultRequest) => void = () => undefined,
	) {
		this.#host = options.host ?? '127.0.0.1';
		this.#port = options.port ?? 0;
		this.#http = http.createServer({requestTimeout: 0, keepAliveTimeout: 60_000}, (req, res) => {
			void this.#handle(req, res);
		});
		this.#listener = this.#createListener();
		this.#faultHttp = http.createServer((req, res) => {
			void this.#handleFault(req, res);
		});
	}

	/** Port for requests; the actual port after the start, and after an outage if it may change. */
	get port(): number {
		return this.#port;
	}

	async start(): Promise<StandInAddresses> {
		await this.#listen(this.#port);
		const faultPort = await listen(this.#faultHttp, this.options.faultPort ?? 0, this.#host);
		return {port: this.#port, faultPort};
	}

	async stop(): Promise<void> {
		this.faults.clear();
		this.closeAll();
		this.#faultHttp.close();
		this.#faultHttp.closeAllConnections();
	}

	/** Closes the listener and all connections. */
	closeAll(): void {
		this.#listener.close();
		this.resetConnections();
	}

	/** Resets all connections. */
	resetConnections(): void {
		for (const connection of this.#connections) {
			connection.reset();
		}

		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	async applyFault(request: fault.FaultRequest): Promise<void> {
		this.onFault(request);
		switch (request.fault) {
			case fault.FaultName.Crash: {
				await this.stop();
				this.options.onCrash?.();
				break;
			}

			case fault.FaultName.Freeze: {
				this.faults.freeze();
				break;
			}

			case fault.FaultName.Silent: {
				this.#silenceConnections();
				break;
			}

			case fault.FaultName.Refuse: {
				this.#listener.close();
				break;
			}

			case fault.FaultName.Outage: {
				this.closeAll();
				break;
			}

			case fault.FaultName.Delay: {
				this.faults.delayMs = request.ms ?? 0;
				break;
			}

			case fault.FaultName.LoseResponses: {
				this.faults.responseLossProbability = request.probability ?? 1;
				break;
			}

			case fault.FaultName.DropEvents: {
				this.faults.dropEventsProbability = request.probability ?? 1;
				break;
			}

			case fault.FaultName.LateWrites: {
				this.faults.writeDelayMs = request.ms ?? 0;
				break;
			}

			case fault.FaultName.Leave: {
				this.faults.isLeaving = true;
				break;
			}

			case fault.FaultName.Clear: {
				await this.#clear();
				break;
			}
		}
	}

	async #listen(port: number): Promise<void> {
		this.#port = await listen(this.#listener, port, this.#host);
	}

	async #clear(): Promise<void> {
		this.faults.clear();
		if (!this.#listener.listening) {
			this.#listener = this.#createListener();
			await (this.options.keepsPort === false ? this.#listen(0) : listenAgain(this.#listener, this.#port, this.#host));
		}
	}

	#silenceConnections(): void {
		for (const connection of this.#connections) {
			connection.silence();
		}

		this.#connections.clear();
	}

	#createListener(): net.Server {
		return net.createServer({noDelay: true}, socket => {
			const connection = new silenceableConnection.SilenceableConnection(socket);
			this.#sockets.add(socket);
			this.#connections.add(connection);
			socket.once('close', () => {
				this.#sockets.delete(socket);
				this.#connections.delete(connection);
			});
			this.#http.emit('connection', connection);
		});
	}

	async #handle(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		const arrivedAt = Date.now();
		res.on('error', () => undefined);
		try {
			await this.faults.waitWhileFrozen();
			await this.handler(req, res, arrivedAt);
		} catch (err) {
			if (!res.headersSent) {
				httpIo.sendJson(res, 500, {message: String(err)});
				return;
			}

			res.destroy();
		}
	}

	async #handleFault(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		const path = httpIo.pathOf(req);
		const reader = this.recordReaders[path.slice(1)];
		if (req.method === 'GET' && reader) {
			httpIo.sendJson(res, 200, reader());
			return;
		}

		if (req.method !== 'POST' || path !== '/fault') {
			httpIo.sendJson(res, 404, {message: 'unknown path'});
			return;
		}

		try {
			const request = await httpIo.readJson(req) as fault.FaultRequest;
			await this.applyFault(request);
			httpIo.sendJson(res, 200, {applied: request.fault});
		} catch (err) {
			httpIo.sendJson(res, 400, {message: String(err)});
		}
	}
}

/** Listens on a port that was given up for a time; waits while another process uses it for an outgoing connection. */
async function listenAgain(server: net.Server, port: number, host: string): Promise<void> {
	for (let attempt = 1; ; attempt++) {
		try {
			await listen(server, port, host); // eslint-disable-line no-await-in-loop -- A retry.
			return;
		} catch (err) {
			if ((err as NodeJS.ErrnoException).code !== 'EADDRINUSE' || attempt === maxListenAttempts) {
				throw err;
			}
		}

		await sleepModule.sleep(listenRetryMs); // eslint-disable-line no-await-in-loop -- A retry.
	}
}

async function listen(server: net.Server, port: number, host: string): Promise<number> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, () => {
			server.off('error', reject);
			resolve();
		});
	});
	return (server.address() as net.AddressInfo).port;
}

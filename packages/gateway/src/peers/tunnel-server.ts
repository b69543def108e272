import * as http from 'node:http';
import * as net from 'node:net';
import type * as core from '@bluebellmast/core';
import * as endpoints from '../endpoints/index.js';
import * as listen from '../util/listen.js';

/** Options of {@link TunnelServer}. */
export type TunnelServerOptions = {
	readonly listen: listen.ListenAddress;
	/** Whether an IP address is that of another VM. */
	readonly isMember: (address: string) => boolean;
	/** Returns the address of an endpoint, as `IP:PORT`; `undefined` if this incarnation is not listed. */
	readonly findAddress: (endpoint: core.fleet.EndpointIncarnation) => string | undefined;
};

const forbiddenStatus = 403;
const notAllowedStatus = 405;
const fullStatus = 503;
/** Time for opening the connection to the endpoint, in milliseconds; less than the other VM waits. */
const connectTimeoutMs = 300;
/** Connections for all other VMs together; each takes two descriptors and some tens of kilobytes of buffers. */
const maxTunnels = 400;
/** Time without data in either direction after which a connection is closed, in milliseconds: the VM at its other end may be gone; requests take less. */
const maxIdleMs = 30_000;
/** The same in a shutdown; longer than the pauses of a stream that is still awaited. */
const shutdownIdleMs = 2500;
/** Connections for one other VM, so that one can't take all. */
const maxTunnelsPerVm = 150;

/**
 * Opens connections to endpoints for VMs that don't reach them, and relays the bytes of both directions. Only members of the fleet are served, and only listed
 * endpoints are connected to; it never goes through a further VM.
 */
export class TunnelServer {
	readonly #server = http.createServer((_req, res) => {
		res.statusCode = notAllowedStatus;
		res.setHeader('Connection', 'close');
		res.end();
	});

	readonly #tunnels = new Map<net.Socket, string>();
	#isStopped = false;

	constructor(private readonly options: TunnelServerOptions) {
		this.#server.on('connection', (socket: net.Socket) => {
			if (!options.isMember(socket.remoteAddress ?? '')) {
				socket.destroy();
			}
		});
		this.#server.on('connect', (req: http.IncomingMessage, socket: net.Socket, head: Uint8Array) => {
			const endpoint = endpoints.decodeTunnelEnd(req.headers);
			this.#open(endpoint && options.findAddress(endpoint), socket, head);
		});
	}

	/** Starts listening. */
	async listen(): Promise<void> {
		return listen.listenOn(this.#server, this.options.listen);
	}

	/** Address at which other VMs reach this one, as `IP:PORT`; `undefined` once it takes no new connections. */
	get address(): string | undefined {
		return this.#isStopped ? undefined : `${this.options.listen.host}:${listen.getPort(this.#server)}`;
	}

	/** Number of open connections. */
	get size(): number {
		return this.#tunnels.size;
	}

	/** Takes no new connections from now on; open ones go on until they are idle. */
	beginShutdown(): void {
		this.#isStopped = true;
		for (const socket of this.#tunnels.keys()) {
			socket.setTimeout(shutdownIdleMs);
		}
	}

	/** Closes the server and all connections immediately. */
	close(): void {
		this.#isStopped = true;
		this.#server.close();
		this.#server.closeAllConnections();
		for (const socket of this.#tunnels.keys()) {
			socket.resetAndDestroy();
		}
	}

	#open(address: string | undefined, socket: net.Socket, head: Uint8Array): void {
		const vmAddress = socket.remoteAddress ?? '';
		socket.on('error', () => {
			// The close of the socket closes the other side.
		});
		socket.setTimeout(maxIdleMs, () => {
			socket.destroy();
		});
		if (address === undefined) {
			reject(socket, forbiddenStatus);
			return;
		}

		if (this.#isStopped || this.#tunnels.size >= maxTunnels || [...this.#tunnels.values()].filter(each => each === vmAddress).length >= maxTunnelsPerVm) {
			reject(socket, fullStatus);
			return;
		}

		this.#tunnels.set(socket, vmAddress);
		socket.once('close', () => {
			this.#tunnels.delete(socket);
		});
		const [host, port] = address.split(':');
		const target = net.connect({
			host, port: Number(port), noDelay: true, allowHalfOpen: true,
		});
		const timer = setTimeout(() => {
			target.destroy();
			reject(socket, endpoints.unreachedStatus);
		}, connectTimeoutMs);
		target.once('connect', () => {
			clearTimeout(timer);
			socket.setNoDelay(true);
			socket.write('HTTP/1.1 200 OK\r\n\r\n');
			if (head.length > 0) {
				target.write(head);
			}

			relay(socket, target);
		});
		target.on('error', (err: NodeJS.ErrnoException) => {
			clearTimeout(timer);
			if (target.connecting || target.bytesRead + target.bytesWritten === 0) {
				reject(socket, err.code === 'ECONNREFUSED' ? endpoints.refusedStatus : endpoints.unreachedStatus);
			}
		});
		socket.once('close', () => {
			clearTimeout(timer);
			target.destroy();
		});
	}
}

/** Relays the bytes of both directions with backpressure; a reset of one side resets the other one, so that a response that breaks off doesn't look complete. */
function relay(socket: net.Socket, target: net.Socket): void {
	socket.pipe(target, {end: false});
	target.pipe(socket);
	socket.once('end', () => {
		// A VM ends its side only to give a request up.
		target.destroy();
		socket.destroy();
	});
	target.once('close', hadError => {
		if (hadError || !target.readableEnded) {
			socket.resetAndDestroy();
		}
	});
}

/** Answers that no connection was opened, so that nothing has been sent to the endpoint. */
function reject(socket: net.Socket, status: number): void {
	if (!socket.destroyed && socket.bytesWritten === 0) {
		socket.end(`HTTP/1.1 ${status} ${http.STATUS_CODES[status]}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`);
	}
}

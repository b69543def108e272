import type * as http from 'node:http';
import type * as net from 'node:net';
import * as earlyBody from '../call/early-body.js';
import * as connectionInput from './connection-input.js';

/** What an input holds, and since when, in milliseconds of the monotonic clock. */
type Held = {readonly bytes: number; readonly since: number};

/** Time for which an input may hold bytes in any case, in milliseconds: that until a request is handled. */
const minHeldMs = 100;

/** Options of {@link ConnectionInputs}. */
export type ConnectionInputsOptions = Omit<connectionInput.ConnectionInputOptions, 'onHeld'> & {
	/** Bytes that all inputs may hold together. */
	readonly maxHeldBytes: number;
	/** Called with a connection that is closed, since all inputs hold too much and it has held for the longest time. */
	readonly onEvicted: (socket: net.Socket) => void;
};

/** Pieces of a body, and requests that wait on a connection, from which on the input of all connections is paced, and the size from which on pieces are not small, in bytes. */
const maxUnpacedPieces = 64;
const maxUnpacedRequests = 8;
const minPieceBytes = 64;
/** Size of a chunked body from which on the input of its connection is paced, in bytes. */
const maxUnpacedBytes = 16_384;
/** Time for which the input of new connections is paced after one had to be, in milliseconds. */
const pacingMs = 10_000;

/** The last request of a connection. */
type LastRequest = {readonly res: http.ServerResponse; readonly early: earlyBody.EarlyBody | undefined};

/**
 * The inputs of callers' connections. Usually Node's HTTP server parses what arrives by itself, which costs least. While callers send bodies in small chunks or pipeline requests,
 * the input of all connections is paced, since each of them may have sent as much at the same time.
 */
export class ConnectionInputs {
	readonly #sockets = new Set<net.Socket>();
	readonly #inputs = new WeakMap<net.Socket, connectionInput.ConnectionInput>();
	readonly #lastRequests = new WeakMap<net.Socket, LastRequest>();
	/** Bytes that inputs hold, in the order in which they began to. */
	readonly #held = new Map<connectionInput.ConnectionInput, Held>();
	readonly #inputOptions: connectionInput.ConnectionInputOptions;
	#allHeldBytes = 0;
	#pacedUntil = -Infinity;

	constructor(private readonly options: ConnectionInputsOptions) {
		this.#inputOptions = {
			...options,
			onHeld: (input, bytes) => {
				this.#recordHeld(input, bytes);
			},
		};
	}

	/** Bytes that all inputs hold. */
	get heldBytes(): number {
		return this.#allHeldBytes;
	}

	/** To be called when a connection was accepted. */
	onConnection(socket: net.Socket): void {
		this.#sockets.add(socket);
		socket.once('close', () => {
			this.#sockets.delete(socket);
		});
		if (this.options.now() < this.#pacedUntil) {
			this.#pace(socket);
		}
	}

	/**
	 * To be called when a request begins.
	 *
	 * @param waiting - Number of requests of the connection that wait for the responses of earlier ones.
	 * @returns What arrives of a chunked body until it is read; absent for other bodies, whose pieces are as large as what is parsed at once.
	 */
	onRequest(res: http.ServerResponse, waiting: number): earlyBody.EarlyBody | undefined {
		const {req} = res;
		const early = req.headers['transfer-encoding'] === undefined
			? undefined
			: new earlyBody.EarlyBody(req, body => {
				this.#onPiece(req.socket, body);
			});
		this.#lastRequests.set(req.socket, {res, early});
		this.#inputs.get(req.socket)?.onRequest(res, early);
		if (waiting >= maxUnpacedRequests) {
			this.#paceAll();
		}

		return early;
	}

	/** To be called when Node's HTTP server has given a connection up and parses it no longer. */
	onDetached(socket: net.Socket): void {
		this.#sockets.delete(socket);
		this.#inputs.get(socket)?.discard();
	}

	/** Discards what arrives on a connection from now on, without parsing it. */
	discard(socket: net.Socket): void {
		if (!socket.destroyed) {
			this.#pace(socket).discard();
		}
	}

	#onPiece(socket: net.Socket, {pieces, length}: earlyBody.EarlyBody): void {
		if (pieces === maxUnpacedPieces && length < pieces * minPieceBytes) {
			this.#paceAll();
		} else if (length >= maxUnpacedBytes) {
			this.#pace(socket);
		}
	}

	#paceAll(): void {
		const now = this.options.now();
		if (now >= this.#pacedUntil) {
			for (const socket of this.#sockets) {
				if (!socket.destroyed) {
					this.#pace(socket);
				}
			}
		}

		this.#pacedUntil = now + pacingMs;
	}

	#pace(socket: net.Socket): connectionInput.ConnectionInput {
		let input = this.#inputs.get(socket);
		if (input === undefined) {
			input = new connectionInput.ConnectionInput(socket, this.#inputOptions);
			this.#inputs.set(socket, input);
			const last = this.#lastRequests.get(socket);
			if (last !== undefined) {
				input.onRequest(last.res, last.early);
			}
		}

		return input;
	}

	#recordHeld(input: connectionInput.ConnectionInput, bytes: number): void {
		const before = this.#held.get(input);
		const now = this.options.now();
		this.#allHeldBytes += bytes - (before?.bytes ?? 0);
		if (bytes > 0) {
			this.#held.set(input, {bytes, since: before?.since ?? now});
		} else {
			this.#held.delete(input);
		}

		for (const [longest, held] of this.#held) {
			if (this.#allHeldBytes <= this.options.maxHeldBytes || now - held.since < minHeldMs) {
				break;
			}

			this.#held.delete(longest);
			this.#allHeldBytes -= held.bytes;
			this.options.onEvicted(longest.socket);
			longest.socket.destroy();
		}
	}
}

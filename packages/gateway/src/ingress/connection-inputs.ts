import type * as http from 'node:http';
import type * as net from 'node:net';
import * as earlyBody from '../call/early-body.js';
import * as connectionInput from './connection-input.js';

/** Pieces and bytes of a body up to which Node parses what was read together with its head. */
const maxUnpacedPieces = 64;
const maxUnpacedBytes = 16_384;

/** The connections whose input this process paces; Node parses that of all others by itself. */
export class ConnectionInputs {
	readonly #inputs = new WeakMap<net.Socket, connectionInput.ConnectionInput>();

	constructor(private readonly options: connectionInput.ConnectionInputOptions) {}

	/**
	 * To be called when a request begins.
	 *
	 * @returns What arrives of a chunked body until it is read; absent for other bodies, whose pieces are as large as what is read at once.
	 */
	onRequest(res: http.ServerResponse): earlyBody.EarlyBody | undefined {
		const {req} = res;
		const early = req.headers['transfer-encoding'] === undefined
			? undefined
			: new earlyBody.EarlyBody(req, ({pieces, length}) => {
				if (pieces === maxUnpacedPieces || length >= maxUnpacedBytes) {
					this.#take(res, early);
				}
			});
		this.#inputs.get(req.socket)?.onRequest(res, early);
		return early;
	}

	/** Discards the rest of a request, and all that follows on its connection, without parsing it. */
	discard(res: http.ServerResponse): void {
		if (!res.req.socket.destroyed) {
			this.#take(res, undefined).discard();
		}
	}

	#take(res: http.ServerResponse, early: earlyBody.EarlyBody | undefined): connectionInput.ConnectionInput {
		const {socket} = res.req;
		let input = this.#inputs.get(socket);
		if (input === undefined) {
			input = new connectionInput.ConnectionInput(socket, this.options);
			input.onRequest(res, early);
			this.#inputs.set(socket, input);
		}

		return input;
	}
}

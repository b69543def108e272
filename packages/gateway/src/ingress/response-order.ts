import type * as http from 'node:http';
import type * as net from 'node:net';

/**
 * Order of the responses of each connection. Requests that are pipelined wait for their turn, so that none is executed whose response
 * can't be sent because an earlier one ends with its connection.
 */
export class ResponseOrder {
	/** Response to the last request that has arrived on a connection. */
	readonly #last = new WeakMap<net.Socket, http.ServerResponse>();
	/** Number of responses of a connection that wait for their turn. */
	readonly #waiting = new WeakMap<net.Socket, number>();

	#waitingCount = 0;

	/** Number of requests of all connections that wait for the responses of earlier ones. */
	get waitingCount(): number {
		return this.#waitingCount;
	}

	/** Adds the response to a request that has arrived. @returns A promise that resolves when it may be sent; `undefined` if it may be sent now. */
	add(res: http.ServerResponse): Promise<void> | undefined {
		const {socket} = res.req;
		const previous = this.#last.get(socket);
		this.#last.set(socket, res);
		if (previous === undefined || previous.closed || socket.destroyed) {
			return undefined;
		}

		if (!previous.headersSent) {
			// Another response follows on the connection.
			previous.removeHeader('Connection');
		}

		return this.#waitForTurn(previous, socket);
	}

	/** Returns the number of requests of a connection that wait for the responses of earlier ones. */
	countWaiting(socket: net.Socket): number {
		return this.#waiting.get(socket) ?? 0;
	}

	/** Whether no other request has arrived on the connection since. */
	isLast(res: http.ServerResponse): boolean {
		return this.#last.get(res.req.socket) === res;
	}

	/** Returns the response to the last request of a connection, if there was one. */
	getLast(socket: net.Socket): http.ServerResponse | undefined {
		return this.#last.get(socket);
	}

	/** Returns the response to the last request of a connection if it is not closed. */
	getOpen(socket: net.Socket): http.ServerResponse | undefined {
		const res = this.#last.get(socket);
		return res?.closed === false ? res : undefined;
	}

	async #waitForTurn(previous: http.ServerResponse, socket: net.Socket): Promise<void> {
		this.#waitingCount += 1;
		this.#waiting.set(socket, this.countWaiting(socket) + 1);
		await waitForClose(previous, socket);
		this.#waiting.set(socket, this.countWaiting(socket) - 1);
		this.#waitingCount -= 1;
	}
}

/** Waits until a response or its connection is closed; a response that waits for its turn is not closed with the connection. */
async function waitForClose(res: http.ServerResponse, socket: net.Socket): Promise<void> {
	return new Promise(resolve => {
		const onClose = (): void => {
			res.off('close', onClose);
			socket.off('close', onClose);
			resolve();
		};

		res.on('close', onClose);
		socket.on('close', onClose);
	});
}

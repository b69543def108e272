import type * as http from 'node:http';
import type * as net from 'node:net';
import * as util from '../util/index.js';

/** Sends responses twice, the second time at once or before the next response on the same connection. */
export class DuplicateResponses {
	/** Copies of responses to be sent before the next response on a connection, by connection. */
	readonly #pending = new WeakMap<net.Socket, string>();

	/** Sends the copy that is pending on a connection, if there is one. */
	sendPending(socket: net.Socket): void {
		const duplicate = this.#pending.get(socket);
		if (duplicate !== undefined) {
			this.#pending.delete(socket);
			socket.write(duplicate);
		}
	}

	/** @param isLate - Whether the copy is sent before the next response, instead of at once. */
	sendTwice(res: http.ServerResponse, value: unknown, headers: Readonly<Record<string, string>>, isLate: boolean): void {
		const body = JSON.stringify(value);
		const headerLines = Object.entries(headers).map(([name, text]) => `${name}: ${text}\r\n`).join('');
		const copy = `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n${headerLines}\r\n${body}`;
		const {socket} = res;
		util.sendJson(res, 200, value, headers);
		if (isLate) {
			this.#pending.set(socket!, copy);
		} else {
			socket!.write(copy);
		}
	}
}

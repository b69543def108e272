import * as net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

const pollMs = 5;
const maxPolls = 3000;

/** Waits until a condition holds, for a bounded time. */
export async function waitUntil(condition: () => boolean): Promise<void> {
	for (let count = 0; count < maxPolls && !condition(); count++) {
		await sleep(pollMs); // eslint-disable-line no-await-in-loop -- Polls follow one another.
	}
}

/** A response that was received as a whole. */
export type WholeResponse = {readonly status: number; readonly head: string; readonly body: string};

/** Caller on a raw connection. Like a blocking client, it reads nothing before {@link RawCaller.read} is called. */
export class RawCaller {
	received = '';
	/** Error of the connection, for example that it was reset. */
	error: string | undefined;
	/** When the connection was closed, in milliseconds of the monotonic clock. */
	closedAt: number | undefined;

	constructor(readonly socket: net.Socket) {
		socket.on('data', chunk => {
			this.received += chunk.toString('latin1');
		});
		socket.on('error', (err: NodeJS.ErrnoException) => {
			this.error ??= err.code;
		});
		socket.on('close', () => {
			this.closedAt = performance.now();
		});
		socket.pause();
	}

	get isClosed(): boolean {
		return this.closedAt !== undefined;
	}

	/** Responses that were received as a whole; all of them state their length. */
	get responses(): readonly WholeResponse[] {
		const responses: WholeResponse[] = [];
		let rest = this.received;
		for (;;) {
			const head = /^HTTP\/1\.1 \d{3} [^]*?\r\n\r\n/.exec(rest)?.[0] ?? '';
			const end = head.length + Number(/^content-length: (?<length>\d+)\r$/im.exec(head)?.groups?.length);
			if (!(rest.length >= end)) {
				return responses;
			}

			responses.push({status: Number(head.slice('HTTP/1.1 '.length).slice(0, 3)), head, body: rest.slice(head.length, end)});
			rest = rest.slice(end);
		}
	}

	get statuses(): readonly number[] {
		return this.responses.map(({status}) => status);
	}

	/** Reads until the given number of responses has arrived or the connection is closed. */
	async read(count = 1): Promise<void> {
		this.socket.resume();
		await waitUntil(() => this.responses.length >= count || this.isClosed);
	}
}

/** Connects to a port of the loopback interface. */
export async function connect(port: number): Promise<RawCaller> {
	const socket = net.connect({port, host: '127.0.0.1'});
	const caller = new RawCaller(socket);
	await new Promise<void>((resolve, reject) => {
		socket.once('connect', resolve);
		socket.once('error', reject);
	});
	return caller;
}

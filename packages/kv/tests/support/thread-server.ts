import * as net from 'node:net';
import * as worker from 'node:worker_threads';

/** From when on a {@link ThreadServer} counts the times of its writes. */
export enum WriteStart {
	Connection = 'connection',
	FirstBytes = 'first_bytes',
}

/** Text that a {@link ThreadServer} writes on each connection, and when, in milliseconds after the start of the writes. */
export type ServerWrite = {readonly afterMs: number; readonly text: string};

const serverCode = `
const {parentPort, workerData} = require('node:worker_threads');
const sockets = new Set();
const server = require('node:net').createServer(socket => {
	sockets.add(socket);
	socket.on('error', () => undefined);
	socket.on('close', () => { sockets.delete(socket); });
	parentPort.postMessage('connection');
	const write = () => {
		for (const {afterMs, text} of workerData.writes) {
			setTimeout(() => { socket.write(text, 'latin1'); }, afterMs);
		}
	};
	socket.resume();
	if (workerData.writeStart === 'connection') {
		write();
	} else {
		socket.once('data', write);
	}
});
server.listen(0, '127.0.0.1', () => { parentPort.postMessage(server.address().port); });
`;

/** TCP server in another thread, which goes on while the event loop of this one is blocked. */
export class ThreadServer {
	/** Starts a server that writes the same on each connection. */
	static async start(writes: readonly ServerWrite[], writeStart = WriteStart.FirstBytes): Promise<ThreadServer> {
		const thread = new worker.Worker(serverCode, {eval: true, workerData: {writes, writeStart}});
		const port = await new Promise<number>((resolve, reject) => {
			thread.once('message', resolve);
			thread.once('error', reject);
		});
		return new ThreadServer(thread, port);
	}

	/** Number of connections that were accepted. */
	connectionCount = 0;

	private constructor(private readonly thread: worker.Worker, readonly port: number) {
		thread.on('message', () => {
			this.connectionCount += 1;
		});
	}

	async stop(): Promise<void> {
		await this.thread.terminate();
	}
}

/** Returns a whole HTTP response with a JSON body. */
export function createJsonResponse(value: unknown): string {
	const body = JSON.stringify(value);
	return `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

/** Connects to another thread that sends a byte after a time. @returns The connection. */
export async function connectToSender(afterMs: number): Promise<net.Socket> {
	const server = await ThreadServer.start([{afterMs, text: 'x'}]);
	const socket = net.connect(server.port, '127.0.0.1');
	await new Promise(resolve => {
		socket.once('connect', resolve);
	});
	socket.once('close', () => {
		void server.stop();
	}).once('data', () => {
		socket.destroy();
	});
	socket.write('x');
	return socket;
}

import * as buffer from 'node:buffer';
import {once} from 'node:events';
import * as net from 'node:net';
import * as chai from 'chai';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const {AttemptFault: faults} = gateway.endpoints;
const bodyBytes = 64 * 1024 * 1024;

// Guards against endpoints that work on requests of callers that have left, also while they are silent.
describe('an attempt at a silent endpoint that is aborted', () => {
	let server: net.Server;
	let sockets: net.Socket[];
	let receivedBytes: number;
	let attempt: gateway.endpoints.EndpointAttempt;

	beforeEach(async () => {
		sockets = [];
		receivedBytes = 0;
		server = net.createServer({pauseOnConnect: true}, socket => {
			socket.on('error', () => undefined);
			socket.on('data', data => {
				receivedBytes += data.length;
			});
			socket.pause();
			sockets.push(socket);
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
	});

	afterEach(() => {
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
	});

	/** Starts an attempt. @returns Its result. */
	function run(body: Uint8Array): Promise<gateway.endpoints.AttemptResult> { // eslint-disable-line @typescript-eslint/promise-function-async -- Starts synchronously.
		const pool = new gateway.endpoints.ConnectionPool(`127.0.0.1:${(server.address() as net.AddressInfo).port}`, () => 0);
		attempt = new gateway.endpoints.EndpointAttempt({
			pool,
			connection: pool.acquire({requiresFresh: false}, 1, 0)!,
			protocol: {} as unknown as gateway.ports.EndpointProtocol,
			request: {
				method: 'POST', target: '/once/1', requestId: 'r-1', headers: ['Content-Length', String(body.length)], body,
			},
			sink: {onHead: () => true, onData: () => true, onDiscardedData: () => undefined},
			onHeadReceived: () => undefined,
			monotonicNow: () => 0,
		});
		return attempt.run();
	}

	async function acceptConnection(): Promise<net.Socket> {
		if (sockets.length === 0) {
			await once(server, 'connection');
		}

		return sockets[0]!;
	}

	/** Lets the endpoint read what was sent, and waits until its connection is closed. */
	async function readToClose(socket: net.Socket): Promise<void> {
		const closed = once(socket, 'close');
		socket.resume();
		await closed;
	}

	it('closes its connection after the request was sent', async () => {
		const ended = run(buffer.Buffer.from('body'));
		const socket = await acceptConnection();
		socket.resume();
		await once(socket, 'data');
		attempt.abort(faults.CallerDisconnected);
		const {fault} = await ended;
		expect(fault).to.equal(faults.CallerDisconnected);
		await readToClose(socket);
	});

	it('closes its connection while the request is being written', async () => {
		const ended = run(buffer.Buffer.alloc(bodyBytes));
		const socket = await acceptConnection();
		socket.resume();
		await once(socket, 'data');
		socket.pause();
		attempt.abort(faults.CallerDisconnected);
		const {fault} = await ended;
		expect(fault).to.equal(faults.CallerDisconnected);
		await readToClose(socket);
		expect(receivedBytes).to.be.lessThan(bodyBytes);
	});

	it('sends nothing if the connection is not open yet', async () => {
		const ended = run(buffer.Buffer.from('body'));
		attempt.abort(faults.CallerDisconnected);
		const {fault} = await ended;
		expect(fault).to.equal(faults.CallerDisconnected);
		await readToClose(await acceptConnection());
		expect(receivedBytes).to.equal(0);
	});
});

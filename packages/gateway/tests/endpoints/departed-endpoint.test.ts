import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import * as net from 'node:net';
import * as core from '@bluebellmast/core';
import * as chai from 'chai';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const {AttemptFault: faults} = gateway.endpoints;

// Guards against requests that reach an endpoint that has left while their connection was being opened.
describe('an attempt whose endpoint leaves before the connection is open', () => {
	let server: net.Server;
	let received: Uint8Array[];
	let closed: Promise<void>;

	beforeEach(async () => {
		received = [];
		closed = new Promise(resolve => {
			server = net.createServer(socket => {
				socket.on('data', data => {
					received.push(data);
				});
				socket.on('error', () => undefined);
				socket.on('close', () => {
					resolve();
				});
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
	});

	afterEach(() => {
		server.close();
	});

	it('ends without having sent anything', async () => {
		const pool = new gateway.endpoints.ConnectionPool(`127.0.0.1:${(server.address() as net.AddressInfo).port}`, () => 0);
		let hasLeft = false;
		const attempt = new gateway.endpoints.EndpointAttempt({
			pool,
			connection: pool.acquire({requiresFresh: false}, 1, 0)!,
			protocol: {} as unknown as gateway.ports.EndpointProtocol,
			request: {
				method: 'POST', target: '/book/1', requestId: 'r-1', headers: ['Content-Length', '4'], body: Buffer.from('body'),
			},
			sink: {onHead: () => true, onData: () => true, onDiscardedData: () => undefined},
			onHeadReceived: () => undefined,
			monotonicNow: () => 0,
			findObstacle: () => hasLeft ? faults.EndpointLeft : undefined,
		});
		const ended = attempt.run();
		hasLeft = true;
		const {fault, progress} = await ended;
		expect({fault, progress}).to.deep.equal({fault: faults.EndpointLeft, progress: core.request.AttemptProgress.Connecting});
		await closed;
		expect(received).to.deep.equal([]);
	});
});

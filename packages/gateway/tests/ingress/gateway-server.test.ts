import * as net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import * as chai from 'chai';
import * as purify from 'purify-ts';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const host = '127.0.0.1';
const pollMs = 5;
const maxPolls = 2000;
const head: gateway.ports.RequestHead = {
	method: 'GET', target: '/', host: 'a.example', requestId: 'r', forwardedHeaders: [],
};

/** Caller on a raw connection that collects what it receives. */
class RawCaller {
	received = '';
	isClosed = false;

	constructor(readonly socket: net.Socket) {
		socket.on('data', chunk => {
			this.received += chunk.toString('latin1');
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			this.isClosed = true;
		});
	}
}

async function waitUntil(condition: () => boolean): Promise<void> {
	for (let count = 0; count < maxPolls && !condition(); count++) {
		await sleep(pollMs); // eslint-disable-line no-await-in-loop
	}
}

describe('GatewayServer in a graceful shutdown', () => {
	let server: gateway.ingress.GatewayServer;
	let callers: RawCaller[] = [];
	let body = 'answer';

	beforeEach(async () => {
		body = 'answer';
		const dispatcher = {
			async dispatch(ctx: gateway.call.RequestContext) {
				ctx.res.end(body);
			},
		} as unknown as gateway.call.RequestDispatcher;
		server = new gateway.ingress.GatewayServer({
			protocol: {decodeRequestHead: () => purify.Right(head)},
			filters: [],
			dispatcher,
			clock: new gateway.util.SystemClocks(),
			log: {write: () => undefined},
		});
		await server.listen({host, port: 0});
	});

	afterEach(() => {
		server.close();
		for (const {socket} of callers) {
			socket.destroy();
		}

		callers = [];
	});

	async function connect(): Promise<RawCaller> {
		const socket = net.connect(server.port, host);
		const caller = new RawCaller(socket);
		callers.push(caller);
		await new Promise<void>(resolve => {
			socket.once('connect', resolve);
		});
		return caller;
	}

	async function shutDown(): Promise<void> {
		server.beginShutdown();
		await server.finishShutdown(5000);
		server.close();
	}

	it('answers a request whose head is being read when the last response has ended', async () => {
		const caller = await connect();
		caller.socket.write('GET / HTTP/1.1\r\nHost: a.exa');
		await sleep(50);
		const ended = shutDown();
		await sleep(150);
		caller.socket.write('mple\r\n\r\n');
		await ended;
		await waitUntil(() => caller.isClosed);
		expect(caller.received).to.match(/^HTTP\/1.1 200 OK/).and.to.match(/answer$/);
	});

	it('passes a response on as a whole to a caller that reads slowly', async () => {
		body = 'x'.repeat(32 * 1024 * 1024);
		const caller = await connect();
		caller.socket.pause();
		caller.socket.write('GET / HTTP/1.1\r\nHost: a.example\r\n\r\n');
		await sleep(100);
		const ended = shutDown();
		await sleep(300);
		caller.socket.resume();
		await ended;
		await waitUntil(() => caller.isClosed);
		expect(caller.received.length).to.be.greaterThan(body.length);
	});

	it('does not wait long for a connection on which nothing arrives', async () => {
		const caller = await connect();
		await shutDown();
		await waitUntil(() => caller.isClosed);
		expect(caller.received).to.equal('');
	});
});

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
	let dispatched = 0;
	/** Ends the responses; absent for responses that end at once. */
	let finish: Promise<void> | undefined;

	beforeEach(async () => {
		body = 'answer';
		dispatched = 0;
		finish = undefined;
		const dispatcher = {
			async dispatch(ctx: gateway.call.RequestContext) {
				dispatched += 1;
				if (finish !== undefined) {
					ctx.res.writeHead(200, {'Content-Length': body.length});
					ctx.res.flushHeaders();
					await finish;
				}

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

	// Guards against a request that is executed although its connection is being closed, so that its caller gets no response (soak seed 122).
	it('does not accept a request on a connection that it has ended after a response', async () => {
		let end: () => void = () => undefined;
		finish = new Promise(resolve => {
			end = resolve;
		});
		const request = 'GET / HTTP/1.1\r\nHost: a.example\r\n\r\n';
		const socket = net.connect({port: server.port, host, allowHalfOpen: true});
		const caller = new RawCaller(socket);
		callers.push(caller);
		socket.once('end', () => {
			socket.write(request);
		});
		socket.write(request);
		await waitUntil(() => caller.received.includes('\r\n\r\n'));
		const ended = shutDown();
		end();
		await ended;
		expect(caller.received).to.match(/answer$/);
		expect(dispatched).to.equal(1);
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

import {once} from 'node:events';
import * as net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import * as chai from 'chai';
import * as purify from 'purify-ts';
import * as blocking from '../../../kv/tests/support/blocking.js';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const request = 'GET / HTTP/1.1\r\nHost: a.example\r\n\r\n';
const requestHead: gateway.ports.RequestHead = {
	method: 'GET', target: '/', host: 'a.example', requestId: 'r', forwardedHeaders: [], deadlineMs: 1500,
};
const endMs = 7000;

function listStatuses({received}: blocking.SeenByCaller): number[] {
	return [...received.matchAll(/HTTP\/1\.1 (?<status>\d{3}) /g)].map(match => Number(match.groups!.status));
}

// Guards against a whole request that gets neither a response nor a refusal, since timers run before sockets are read after the event loop was blocked.
describe('a request that arrives while the event loop is blocked', () => {
	let server: gateway.ingress.GatewayServer;

	beforeEach(async () => {
		const clock = new gateway.util.SystemClocks();
		server = new gateway.ingress.GatewayServer({
			protocol: {decodeRequestHead: () => purify.Right(requestHead)},
			filters: [new gateway.call.BodyFilter(clock)],
			dispatcher: {
				async dispatch(ctx: gateway.call.RequestContext) {
					ctx.res.end('answer');
				},
			} as unknown as gateway.call.RequestDispatcher,
			clock,
			log: {write: () => undefined},
			headCheckIntervalMs: 100,
		});
		await server.listen({host: '127.0.0.1', port: 0});
	});

	afterEach(() => {
		server.close();
	});

	it('is answered though the idle timeout of its connection has passed meanwhile', async () => {
		server.applyLimits({headerTimeoutMs: 5000, idleTimeoutMs: 1000});
		const caller = blocking.runThreadCaller(server.port, [{atMs: 0, text: request}, {atMs: 1000, text: request}], endMs);
		await sleep(600);
		await blocking.blockEventLoop(4500);
		expect(listStatuses(await caller)).to.deep.equal([200, 200]);
	});

	it('is answered though the server stops listening meanwhile', async () => {
		server.applyLimits({headerTimeoutMs: 5000, idleTimeoutMs: 15_000});
		const caller = blocking.runThreadCaller(server.port, [{atMs: 0, text: request}, {atMs: 1000, text: request}], endMs);
		await sleep(600);
		server.beginShutdown();
		setTimeout(() => {
			void server.finishShutdown(5000);
		}, 200);
		await blocking.blockEventLoop(1200);
		expect(listStatuses(await caller)).to.deep.equal([200, 200]);
	});

	it('is answered though its connection was not accepted before the server stops listening', async () => {
		setTimeout(() => {
			void server.finishShutdown(5000);
		}, 600);
		const caller = blocking.runThreadCaller(server.port, [{atMs: 0, text: request}], endMs);
		await blocking.blockEventLoop(1200);
		expect(listStatuses(await caller)).to.deep.equal([200]);
	});

	// Guards against resets of connections that wait to be accepted, of which each turn of the event loop accepts one.
	it('is answered though several connections were not accepted before the server stops listening', async () => {
		setTimeout(() => {
			void server.finishShutdown(5000);
		}, 600);
		const callers = Array.from({length: 8}, async () => blocking.runThreadCaller(server.port, [{atMs: 0, text: request}], endMs));
		await blocking.blockEventLoop(1500);
		const seen = await Promise.all(callers);
		expect(seen.map(caller => listStatuses(caller))).to.deep.equal(Array.from({length: 8}, () => [200]));
	});

	it('gets a response though the grace period has ended meanwhile', async () => {
		server.applyLimits({headerTimeoutMs: 5000, idleTimeoutMs: 15_000});
		const caller = blocking.runThreadCaller(server.port, [
			{atMs: 0, text: request}, {atMs: 500, text: request.slice(0, 4)}, {atMs: 1000, text: request.slice(4)},
		], endMs);
		setTimeout(async () => {
			await server.finishShutdown(300);
			server.close();
		}, 650);
		await sleep(700);
		await blocking.blockEventLoop(1000);
		expect(listStatuses(await caller)).to.have.lengthOf(2);
	});

	it('is answered though the timeout of its head has passed meanwhile', async () => {
		server.applyLimits({headerTimeoutMs: 700, idleTimeoutMs: 15_000});
		const caller = blocking.runThreadCaller(server.port, [{atMs: 0, text: request.slice(0, 4)}, {atMs: 650, text: request.slice(4)}], 3000);
		await sleep(500);
		await blocking.blockEventLoop(1000);
		expect(listStatuses(await caller)).to.deep.equal([200]);
	});

	it('is answered though its connection is idle for longer than the limit of heads', async () => {
		server.applyLimits({headerTimeoutMs: 300, idleTimeoutMs: 15_000});
		const caller = blocking.runThreadCaller(server.port, [{atMs: 600, text: request}], 3000);
		await sleep(250);
		await blocking.blockEventLoop(1000);
		expect(listStatuses(await caller)).to.deep.equal([200]);
	});

	it('is answered though the time for its body has passed meanwhile', async () => {
		const head = 'POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\n';
		const caller = blocking.runThreadCaller(server.port, [{atMs: 0, text: `${head}x`}, {atMs: 1000, text: 'x'}], 4000);
		await sleep(600);
		await blocking.blockEventLoop(1500);
		expect(listStatuses(await caller)).to.deep.equal([200]);
	});
});

// Guards against work for callers that left while the event loop was blocked: a request is read before the end of its connection.
describe('a request whose caller leaves while the event loop is blocked', () => {
	it('is not dispatched', async () => {
		const dispatched: string[] = [];
		const clock = new gateway.util.SystemClocks();
		const server = new gateway.ingress.GatewayServer({
			protocol: {decodeRequestHead: ({target}) => purify.Right({...requestHead, target})},
			filters: [new gateway.call.BodyFilter(clock)],
			dispatcher: {
				async dispatch(ctx: gateway.call.RequestContext) {
					dispatched.push(ctx.head.target);
					ctx.res.end('answer');
				},
			} as unknown as gateway.call.RequestDispatcher,
			clock,
			log: {write: () => undefined},
		});
		await server.listen({host: '127.0.0.1', port: 0});
		server.applyLimits({headerTimeoutMs: 5000, idleTimeoutMs: 15_000});
		const callers = [1, 2, 3].map(async number => blocking.runThreadCaller(server.port, [
			{atMs: 0, text: request}, {atMs: 800, text: `GET /left-${number} HTTP/1.1\r\nHost: a.example\r\n\r\n`},
		], 1000));
		const patient = blocking.runThreadCaller(server.port, [{atMs: 800, text: 'GET /patient HTTP/1.1\r\nHost: a.example\r\n\r\n'}], 3000);
		await sleep(500);
		await blocking.blockEventLoop(1200);
		await Promise.all([...callers, patient]);
		server.close();
		expect(dispatched).to.deep.equal(['/', '/', '/', '/patient']);
	});
});

// Guards against work for callers that left while their connections waited to be accepted, of which a busy event loop accepts one each turn: none of the turns need be
// long enough to count as a block.
describe('a request whose caller leaves before its connection is accepted', () => {
	it('is not dispatched', async () => {
		const dispatched: string[] = [];
		const clock = new gateway.util.SystemClocks();
		const server = new gateway.ingress.GatewayServer({
			protocol: {decodeRequestHead: ({target}) => purify.Right({...requestHead, target})},
			filters: [new gateway.call.BodyFilter(clock)],
			dispatcher: {
				async dispatch(ctx: gateway.call.RequestContext) {
					dispatched.push(ctx.head.target);
					ctx.res.end('answer');
				},
			} as unknown as gateway.call.RequestDispatcher,
			clock,
			log: {write: () => undefined},
		});
		await server.listen({host: '127.0.0.1', port: 0});
		const call = async (target: string, endMs: number): Promise<blocking.SeenByCaller> =>
			blocking.runThreadCaller(server.port, [{atMs: 0, text: `GET ${target} HTTP/1.1\r\nHost: a.example\r\n\r\n`}], endMs);
		const impatient = [1, 2, 3, 4].map(async number => call(`/left-${number}`, 200));
		const patient = call('/patient', 3000);
		await blocking.blockEventLoop(1500);
		await Promise.all([...impatient, patient]);
		server.close();
		expect(dispatched).to.deep.equal(['/patient']);
	});
});

// Guards against a request that is decided by an older configuration while a newer one has arrived, but was not read yet.
describe('a request that arrives with a newer configuration', () => {
	it('is decided by it, though it is read first', async () => {
		let version = 1;
		const store = net.createServer(socket => {
			socket.once('data', () => {
				version = 2;
				socket.end();
			});
		});
		store.listen(0, '127.0.0.1');
		await once(store, 'listening');
		const versions: number[] = [];
		const server = new gateway.ingress.GatewayServer({
			protocol: {decodeRequestHead: () => purify.Right(requestHead)},
			filters: [{
				check() {
					versions.push(version);
					return undefined;
				},
			}],
			dispatcher: {
				async dispatch(ctx: gateway.call.RequestContext) {
					ctx.res.end('answer');
				},
			} as unknown as gateway.call.RequestDispatcher,
			clock: new gateway.util.SystemClocks(),
			log: {write: () => undefined},
		});
		await server.listen({host: '127.0.0.1', port: 0});
		server.applyLimits({headerTimeoutMs: 5000, idleTimeoutMs: 15_000});
		const caller = blocking.runThreadCaller(server.port, [{atMs: 0, text: request}, {atMs: 800, text: request}], 2500);
		const {port} = store.address() as net.AddressInfo;
		const update = blocking.runThreadCaller(port, [{atMs: 1000, text: 'newer configuration'}], 2500);
		await sleep(500);
		await blocking.blockEventLoop(1200);
		await Promise.all([caller, update]);
		server.close();
		store.close();
		expect(versions).to.deep.equal([1, 2]);
	});
});

// Guards against a reset of a connection whose caller sends a request at the moment at which the server closes it, and against the reading of that request, after
// which callers can't repeat one that may be executed only once.
describe('a request that crosses the close of its idle connection', () => {
	let server: gateway.ingress.GatewayServer;
	let droppedCount: number;
	let respond: (res: gateway.call.RequestContext['res']) => Promise<void>;

	beforeEach(async () => {
		droppedCount = 0;
		respond = async res => {
			res.end('answer');
		};

		server = new gateway.ingress.GatewayServer({
			protocol: {decodeRequestHead: () => purify.Right(requestHead)},
			filters: [],
			dispatcher: {
				async dispatch(ctx: gateway.call.RequestContext) {
					await respond(ctx.res);
				},
			} as unknown as gateway.call.RequestDispatcher,
			clock: new gateway.util.SystemClocks(),
			log: {
				write(event) {
					droppedCount += event === gateway.util.LogEvent.RequestDropped ? 1 : 0;
				},
			},
		});
		await server.listen({host: '127.0.0.1', port: 0});
	});

	afterEach(() => {
		server.close();
	});

	it('is not read, and not reset before its caller has closed the connection', async () => {
		server.applyLimits({headerTimeoutMs: 5000, idleTimeoutMs: 0});
		const seen = await blocking.runThreadCaller(server.port, [{atMs: 0, text: request}, {afterEndMs: 300, text: request}], endMs);
		expect({statuses: listStatuses(seen), error: seen.error, droppedCount}).to.deep.equal({statuses: [200], error: undefined, droppedCount: 0});
	});

	it('is not read, and not reset before its caller has closed the connection, if the server stops', async () => {
		server.applyLimits({headerTimeoutMs: 5000, idleTimeoutMs: 15_000});
		const caller = blocking.runThreadCaller(server.port, [{atMs: 0, text: request}, {afterEndMs: 300, text: request}], endMs);
		await sleep(500);
		server.beginShutdown();
		await server.finishShutdown(5000);
		const seen = await caller;
		expect({statuses: listStatuses(seen), error: seen.error, droppedCount}).to.deep.equal({statuses: [200], error: undefined, droppedCount: 0});
	});

	it('is not read if the connection is closed after a response that had begun before the server stops', async () => {
		server.applyLimits({headerTimeoutMs: 5000, idleTimeoutMs: 15_000});
		respond = async res => {
			res.flushHeaders();
			await sleep(600);
			res.end('answer');
		};

		const caller = blocking.runThreadCaller(server.port, [{atMs: 0, text: request}, {afterEndMs: 300, text: request}], endMs);
		await sleep(500);
		server.beginShutdown();
		const seen = await caller;
		expect({statuses: listStatuses(seen), error: seen.error, droppedCount}).to.deep.equal({statuses: [200], error: undefined, droppedCount: 0});
	});
});
